// Package enginetest provides the contract tests of [damasktrail.Engine]. They run
// an implementation against a simulated endpoint of package standin, with faults,
// in virtual time. Start from [Run].
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

// baseURL is the URL of the endpoint for the implementations.
const baseURL = "http://endpoint.test"

// Factory returns the implementation under test for the endpoint at baseURL. Its
// limits must be the defaults of [engine.Settings].
type Factory func(baseURL string, client *http.Client, clock damasktrail.Clock) damasktrail.Engine

// subject is an implementation under test with its endpoint.
type subject struct {
	damasktrail.Engine
	network  *Network
	endpoint *standin.Endpoint
	options  standin.EndpointOptions
}

// contractTest is one contract test.
type contractTest struct {
	name string
	// guardsAgainst is the fault that the test detects.
	guardsAgainst string
	run           func(t *testing.T, s *subject)
}

// Run runs the contract tests that apply to options.Kind. For each test, it starts
// an endpoint with options, whose Clock and Crash it sets, and an implementation
// from factory.
func Run(t *testing.T, factory Factory, options standin.EndpointOptions) {
	t.Helper()
	tests := engineTests
	if options.Kind == standin.KindService {
		tests = serviceTests
	}
	for _, c := range append(tests, commonTests...) {
		t.Run(strings.ReplaceAll(c.name, " ", "-"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Log("guards against", c.guardsAgainst)
				s, stop := newSubject(factory, options)
				defer stop()
				c.run(t, s)
			})
		})
	}
	if options.Kind != standin.KindService {
		runFaultTests(t, factory, options)
	}
}

// newSubject starts an endpoint in the current synctest bubble and creates the
// implementation under test. The function stop closes the endpoint.
func newSubject(factory Factory, options standin.EndpointOptions) (s *subject, stop func()) {
	tasks := group.New(context.Background())
	network := NewNetwork()
	options.Clock = timer.New(tasks)
	options.Crash = network.Crash
	e := standin.NewEndpoint(options)
	server := &http.Server{Handler: e.Handler(), ConnContext: e.ConnContext, ReadHeaderTimeout: time.Minute}
	tasks.Go(func(context.Context) { server.Serve(network) }) //nolint:errcheck // it ends with the network
	s = &subject{
		Engine:   factory(baseURL, network.Client(), options.Clock),
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

// chatCall returns a streamed call of a chat completion with the given number of
// tokens.
func chatCall(id string, tokens int) damasktrail.Call {
	return damasktrail.Call{
		ID: id, Method: http.MethodPost, Path: "/v1/chat/completions", Type: "application/json", Stream: true,
		Body: fmt.Appendf(nil, `{"messages":[{"role":"user","content":"diary of %s"}],"stream":true,`+
			`"max_tokens":%d,"stream_options":{"include_usage":true}}`, id, tokens),
	}
}

// completionCall returns a non-streamed call of a plain completion.
func completionCall(id string) damasktrail.Call {
	return damasktrail.Call{
		ID: id, Method: http.MethodPost, Path: "/v1/completions", Type: "application/json",
		Body: fmt.Appendf(nil, `{"prompt":"notes of %s","max_tokens":12}`, id),
	}
}

// readAll reads an answer to its end. It returns the body and the error that ended
// it, or nil for io.EOF.
func readAll(a damasktrail.Answer) (string, error) {
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

// requireStream checks that body holds each event of the answer to c exactly once
// and in order, and that their text equals the expected text byte for byte.
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

var engineTests = []contractTest{
	{"streamed answer", "lost, repeated or foreign parts of a streamed answer", func(t *testing.T, s *subject) {
		c := chatCall("a", 30)
		a, err := s.Run(t.Context(), c)
		require.NoError(t, err)
		require.Equal(t, damasktrail.Head{Status: 200, Type: "text/event-stream"}, a.Head())
		body, err := readAll(a)
		require.NoError(t, err)
		requireStream(t, c, body)
		require.Equal(t, damasktrail.Usage{Prefill: 5, Decode: 30}, a.Usage())
		require.NoError(t, a.Close())
	}},
	{"whole answer", "a whole answer with other bytes or without usage", func(t *testing.T, s *subject) {
		c := completionCall("a")
		a, err := s.Run(t.Context(), c)
		require.NoError(t, err)
		body, err := readAll(a)
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
				a, err := s.Run(ctx, chatCall(fmt.Sprint("call-", i), 5+i))
				if err == nil {
					bodies[i], err = readAll(a)
				}
				errs[i] = err
			})
		}
		tasks.Wait()
		for i, body := range bodies {
			require.NoError(t, errs[i])
			requireStream(t, chatCall(fmt.Sprint("call-", i), 5+i), body)
			require.Contains(t, body, fmt.Sprintf(`"completion_tokens":%d,`, 5+i))
		}
		require.Len(t, s.endpoint.Runs().Runs, 40)
	}},
	{"refused answer", "a hidden status of the endpoint", func(t *testing.T, s *subject) {
		s.endpoint.SetFault(standin.EndpointFault{Refuse: 1})
		a, err := s.Run(t.Context(), chatCall("a", 5))
		require.NoError(t, err)
		require.Equal(t, 503, a.Head().Status)
		body, err := readAll(a)
		require.NoError(t, err)
		require.Contains(t, body, "refused")
		require.Empty(t, s.endpoint.Runs().Runs)
	}},
	{"close", "work that goes on at the endpoint after Close", func(t *testing.T, s *subject) {
		a, err := s.Run(t.Context(), chatCall("a", 1000))
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
		for _, c := range []damasktrail.Call{chatCall("a", 1000), completionCall("b")} {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			a, err := s.Run(ctx, c)
			if err == nil {
				_, err = readAll(a)
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
		a, err := s.Run(t.Context(), chatCall("a", 1000))
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

var serviceTests = []contractTest{
	{"service calls", "a changed or repeated call to a plain service", func(t *testing.T, s *subject) {
		for i, method := range []string{"POST", "POST", "PUT", "GET", "DELETE"} {
			c := damasktrail.Call{ID: fmt.Sprint(i), Method: method, Path: "/orders/7"}
			if method == "POST" || method == "PUT" {
				c.Body = []byte("confirm")
			}
			a, err := s.Run(t.Context(), c)
			require.NoError(t, err)
			body, err := readAll(a)
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

var commonTests = []contractTest{
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
		_, err := s.Run(ctx, completionCall("a"))
		require.ErrorIs(t, err, damasktrail.ErrNotDispatched)
		s.network.Crash()
		_, err = s.Run(t.Context(), completionCall("b"))
		require.ErrorIs(t, err, damasktrail.ErrNotDispatched)
		require.Empty(t, s.endpoint.Runs().Runs)
	}},
}
