// Package enginetest holds the contract tests of [damasktrail.Engine]. They run
// an implementation against the stand-in of an endpoint, with faults, in virtual
// time. Start from [Run].
package enginetest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/group"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

// base is the address under which implementations reach the endpoint.
const base = "http://endpoint.test"

// Factory returns the implementation under test for the endpoint at base.
// Its limits must be the defaults of [engine.Settings].
type Factory func(base string, client *http.Client, clock damasktrail.Clock) damasktrail.Engine

// subject is an implementation with its endpoint.
type subject struct {
	damasktrail.Engine
	network  *Network
	endpoint *standin.Endpoint
	options  standin.EndpointOptions
}

// check is one contract test.
type check struct {
	name string
	// guards is the failure that the test guards against.
	guards string
	run    func(t *testing.T, s *subject)
}

// Run runs the contract against factory and endpoints with options, whose Clock
// and Crash it sets. Of the tests it runs those that suit options.Kind.
func Run(t *testing.T, factory Factory, options standin.EndpointOptions) {
	t.Helper()
	checks := engineChecks
	if options.Kind == standin.KindService {
		checks = serviceChecks
	}
	for _, c := range append(checks, commonChecks...) {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Log("guards against", c.guards)
				s, stop := open(factory, options)
				defer stop()
				c.run(t, s)
			})
		})
	}
	if options.Kind != standin.KindService {
		runFaults(t, factory, options)
	}
}

// open starts an endpoint in the current bubble.
func open(factory Factory, options standin.EndpointOptions) (s *subject, stop func()) {
	tasks := group.New(context.Background())
	network := NewNetwork()
	options.Clock = timer.New(tasks)
	options.Crash = network.Crash
	e := standin.NewEndpoint(options)
	server := &http.Server{Handler: e.Handler(), ConnContext: e.ConnContext, ReadHeaderTimeout: time.Minute}
	tasks.Go(func(context.Context) { server.Serve(network) }) //nolint:errcheck // it ends with the network
	s = &subject{
		Engine:   factory(base, network.Client(), options.Clock),
		network:  network,
		endpoint: e,
		options:  options,
	}
	return s, func() {
		server.Close() //nolint:errcheck // the network has no errors
		network.Crash()
		e.Close()
		tasks.Close()
	}
}

// chat returns a streamed chat call of the given number of tokens.
func chat(id string, tokens int) damasktrail.Call {
	return damasktrail.Call{
		ID: id, Method: http.MethodPost, Path: "/v1/chat/completions", Type: "application/json", Stream: true,
		Body: fmt.Appendf(nil, `{"messages":[{"role":"user","content":"diary of %s"}],"stream":true,`+
			`"max_tokens":%d,"stream_options":{"include_usage":true}}`, id, tokens),
	}
}

// whole returns a call of a plain completion in one piece.
func whole(id string) damasktrail.Call {
	return damasktrail.Call{
		ID: id, Method: http.MethodPost, Path: "/v1/completions", Type: "application/json",
		Body: fmt.Appendf(nil, `{"prompt":"notes of %s","max_tokens":12}`, id),
	}
}

// read returns the whole body of an answer and its error unless it is io.EOF.
func read(a damasktrail.Answer) (string, error) {
	var b strings.Builder
	for {
		part, err := a.Next()
		b.Write(part)
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
	}
}

// requireStream checks that body holds each event of the answer to c once, in
// order, byte for byte.
func requireStream(t *testing.T, c damasktrail.Call, body string) {
	t.Helper()
	var text strings.Builder
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for i, event := range events {
		id, data, found := strings.Cut(event, "\ndata: ")
		require.True(t, found, event)
		require.Equal(t, fmt.Sprintf("id: %d", i+1), id)
		if i == len(events)-1 {
			require.Equal(t, "[DONE]", data)
			break
		}
		var o struct {
			ID      string
			Choices []struct{ Delta struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte(data), &o))
		require.Equal(t, c.ID, o.ID)
		for _, choice := range o.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	want, err := standin.GeneratedText(c.Body)
	require.NoError(t, err)
	require.Equal(t, want, text.String())
}

var engineChecks = []check{
	{"streamed answer", "lost, repeated or foreign parts of a streamed answer", func(t *testing.T, s *subject) {
		c := chat("a", 30)
		a, err := s.Run(t.Context(), c)
		require.NoError(t, err)
		require.Equal(t, damasktrail.Head{Status: 200, Type: "text/event-stream"}, a.Head())
		body, err := read(a)
		require.NoError(t, err)
		requireStream(t, c, body)
		require.Equal(t, damasktrail.Usage{Prefill: 5, Decode: 30}, a.Usage())
		require.NoError(t, a.Close())
	}},
	{"whole answer", "a whole answer with other bytes or without usage", func(t *testing.T, s *subject) {
		c := whole("a")
		a, err := s.Run(t.Context(), c)
		require.NoError(t, err)
		body, err := read(a)
		require.NoError(t, err)
		want, err := standin.GeneratedText(c.Body)
		require.NoError(t, err)
		require.Contains(t, body, `"text":"`+want+`"`)
		require.Equal(t, damasktrail.Usage{Prefill: 3, Decode: 12}, a.Usage())
	}},
	{"concurrent answers", "answers that reach the wrong caller", func(t *testing.T, s *subject) {
		tasks := group.New(t.Context())
		var bodies [40]string
		var errs [40]error
		for i := range bodies {
			tasks.Go(func(ctx context.Context) {
				a, err := s.Run(ctx, chat(fmt.Sprint("call-", i), 5+i))
				if err == nil {
					bodies[i], err = read(a)
				}
				errs[i] = err
			})
		}
		tasks.Wait()
		for i, body := range bodies {
			require.NoError(t, errs[i])
			requireStream(t, chat(fmt.Sprint("call-", i), 5+i), body)
			require.Contains(t, body, fmt.Sprintf(`"completion_tokens":%d,`, 5+i))
		}
		require.Len(t, s.endpoint.Runs().Runs, 40)
	}},
	{"refused answer", "a hidden status of the endpoint", func(t *testing.T, s *subject) {
		s.endpoint.SetFault(standin.EndpointFault{Refuse: 1})
		a, err := s.Run(t.Context(), chat("a", 5))
		require.NoError(t, err)
		require.Equal(t, 503, a.Head().Status)
		body, err := read(a)
		require.NoError(t, err)
		require.Contains(t, body, "refused")
		require.Empty(t, s.endpoint.Runs().Runs)
	}},
	{"close", "work that goes on at the endpoint after Close", func(t *testing.T, s *subject) {
		a, err := s.Run(t.Context(), chat("a", 1000))
		require.NoError(t, err)
		_, err = a.Next()
		require.NoError(t, err)
		require.NoError(t, a.Close())
		require.NoError(t, a.Close())
		require.Equal(t, 1, s.endpoint.Runs().Cancelled)
		_, err = a.Next()
		require.Error(t, err)
	}},
	{"context", "a call that outlives its context", func(t *testing.T, s *subject) {
		for _, c := range []damasktrail.Call{chat("a", 1000), whole("b")} {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			a, err := s.Run(ctx, c)
			if err == nil {
				_, err = read(a)
				a.Close() //nolint:errcheck // the answer has failed already
			}
			cancel()
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.NotErrorIs(t, err, damasktrail.ErrNotDispatched)
		}
		require.Equal(t, 2, s.endpoint.Runs().Cancelled)
	}},
	{"orders", "an old order that overwrites a newer one unnoticed", func(t *testing.T, s *subject) {
		for _, o := range []struct {
			fence uint64
			old   bool
		}{{5, false}, {5, false}, {4, true}, {6, false}} {
			err := s.Order(t.Context(), damasktrail.Order{Fence: o.fence, Model: "diary", Role: "both"})
			if !o.old || !s.options.Fencing {
				require.NoError(t, err)
				continue
			}
			var old *damasktrail.OldFenceError
			require.ErrorAs(t, err, &old)
			require.Equal(t, damasktrail.OldFenceError{Sent: 4, Held: 5}, *old)
		}
	}},
	{"load", "a report whose age hides its lag", func(t *testing.T, s *subject) {
		a, err := s.Run(t.Context(), chat("a", 1000))
		require.NoError(t, err)
		require.NoError(t, s.options.Clock.Sleep(t.Context(), time.Second))
		l, err := s.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, damasktrail.EngineLoad{Running: 1, Age: 250 * time.Millisecond}, l)
		require.NoError(t, a.Close())
		l, err = s.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, l.Running, "the report is older than the cancellation")
	}},
}

var serviceChecks = []check{
	{"service calls", "a changed or repeated call to a plain service", func(t *testing.T, s *subject) {
		for i, method := range []string{"POST", "POST", "PUT", "GET", "DELETE"} {
			c := damasktrail.Call{ID: fmt.Sprint(i), Method: method, Path: "/orders/7"}
			if method == "POST" || method == "PUT" {
				c.Body = []byte("confirm")
			}
			a, err := s.Run(t.Context(), c)
			require.NoError(t, err)
			body, err := read(a)
			require.NoError(t, err)
			require.NoError(t, a.Close())
			require.Contains(t, body, fmt.Sprintf(`"method":%q,"path":"/orders/7"`, method))
			require.Zero(t, a.Usage())
		}
		require.Len(t, s.endpoint.Runs().Runs, 5)
	}},
	{"service crash", "a repeated call after a crash", func(t *testing.T, s *subject) {
		s.endpoint.SetFault(standin.EndpointFault{Marker: "boom"})
		_, err := s.Run(t.Context(), damasktrail.Call{ID: "a", Method: "POST", Path: "/", Body: []byte("boom")})
		var crashed *engine.CrashedError
		require.ErrorAs(t, err, &crashed)
		require.Len(t, s.endpoint.Runs().Runs, 1)
	}},
	{"service cancel", "a cancel request that a plain service would take for a call", func(t *testing.T, s *subject) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err := s.Run(ctx, damasktrail.Call{ID: "a", Method: "POST", Path: "/", Body: []byte("x")})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.NoError(t, s.options.Clock.Sleep(t.Context(), time.Second))
		require.Len(t, s.endpoint.Runs().Runs, 1)
	}},
}

var commonChecks = []check{
	{"health", "a health check that uses an old connection", func(t *testing.T, s *subject) {
		require.NoError(t, s.Healthy(t.Context()))
		s.endpoint.SetFault(standin.EndpointFault{Silence: standin.SilenceOpen})
		require.NoError(t, s.Healthy(t.Context()))
		s.endpoint.SetFault(standin.EndpointFault{Silence: standin.SilenceAll})
		require.Error(t, s.Healthy(t.Context()))
		s.network.Crash()
		require.Error(t, s.Healthy(t.Context()))
	}},
	{"call not dispatched", "a call that ran although its error says the opposite", func(t *testing.T, s *subject) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := s.Run(ctx, whole("a"))
		require.ErrorIs(t, err, damasktrail.ErrNotDispatched)
		s.network.Crash()
		_, err = s.Run(t.Context(), whole("b"))
		require.ErrorIs(t, err, damasktrail.ErrNotDispatched)
		require.Empty(t, s.endpoint.Runs().Runs)
	}},
}
