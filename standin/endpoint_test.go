package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/group"
	"damasktrail.dev/standin"
)

// slowOptions are settings whose durations are easy to add up: 1,000 prompt tokens
// and 100 decode steps per second.
var slowOptions = standin.EndpointOptions{
	PrefillRate: 1000, Step: 10 * time.Millisecond, StepGrowth: time.Millisecond,
	Batch: 2, CacheTokens: 512, CacheGap: 10, Crash: func() {},
}

// fixture is an endpoint in a synctest bubble whose handlers are called without a
// network.
type fixture struct {
	*standin.Endpoint
	t     *testing.T
	tasks *group.Group
}

// inBubble runs f with an endpoint in virtual time.
func inBubble(t *testing.T, options standin.EndpointOptions, f func(t *testing.T, b *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &fixture{standin.NewEndpoint(options), t, group.New(t.Context())}
		defer b.tasks.Close()
		defer b.Close()
		f(t, b)
	})
}

// call sends a request and returns the status and body of the answer. A request
// that is aborted has status 0.
func (b *fixture) call(ctx context.Context, h http.Handler, method, path, id, body string) (status int, text string) {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	r.Header.Set("Stream-Id", id)
	w := httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil {
			status, text = 0, w.Body.String()
		}
	}()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

func (b *fixture) do(method, path, id, body string) (int, string) {
	return b.call(b.t.Context(), b.Handler(), method, path, id, body)
}

// start sends a completion request of the given sizes. It returns a function that
// waits for the end of the answer and returns its status, body and duration.
func (b *fixture) start(ctx context.Context, id, prompt string, tokens int, stream bool) (wait func() (int, string, time.Duration)) {
	var status int
	var text string
	var took time.Duration
	begin := time.Now()
	done := make(chan struct{})
	b.tasks.Go(func(context.Context) {
		defer close(done)
		status, text = b.call(ctx, b.Handler(), http.MethodPost, "/v1/completions", id, completion(prompt, tokens, stream))
		took = time.Since(begin)
	})
	synctest.Wait()
	return func() (int, string, time.Duration) {
		<-done
		return status, text, took
	}
}

func completion(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, tokens, stream)
}

// text returns a prompt of n tokens. Prompts with different seeds differ from the
// first block on.
func text(seed string, n int) string {
	return strings.Repeat(seed[:1]+"abc", n)
}

// Guards against a simulated cost that does not differ between endpoints, and
// against requests that are served out of order.
func TestEndpointTimes(t *testing.T) {
	type request struct {
		prompt string
		tokens int
		took   time.Duration
	}
	tests := map[string][]request{
		"prefill and decode": {{text("p", 100), 10, 190 * time.Millisecond}},
		// 512 and then 488 tokens are prefilled in two steps.
		"long prompt": {{text("p", 1000), 1, time.Second}},
		// The first prefills alone (100 ms), the second beside a decode step of the
		// first (110 ms), then both decode nine times (11 ms each), and the second
		// needs one more step (10 ms).
		"two share the batch": {{text("p", 100), 11, 309 * time.Millisecond}, {text("q", 100), 11, 319 * time.Millisecond}},
		// The second joins after the first step and leaves at 30 ms; the third takes
		// its slot and is prefilled beside the last decode step of the first.
		"third waits for a place": {
			{text("p", 10), 3, 50 * time.Millisecond}, {text("q", 10), 1, 30 * time.Millisecond}, {text("r", 10), 1, 50 * time.Millisecond},
		},
	}
	for name, requests := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, slowOptions, func(t *testing.T, b *fixture) {
				waits := make([]func() (int, string, time.Duration), 0, len(requests))
				for i, r := range requests {
					waits = append(waits, b.start(t.Context(), fmt.Sprint(i), r.prompt, r.tokens, false))
				}
				for i, wait := range waits {
					status, body, took := wait()
					require.Equal(t, 200, status, body)
					require.InDelta(t, requests[i].took, took, float64(time.Microsecond), "request %d", i)
				}
			})
		})
	}
}

// Guards against a prefix cache that exceeds its capacity, evicts the wrong blocks,
// or publishes its events without delay or without gaps.
func TestEndpointCache(t *testing.T) {
	inBubble(t, slowOptions, func(t *testing.T, b *fixture) {
		prefilled := 0
		ask := func(prompt string) int {
			status, _ := b.do("POST", "/v1/completions", "", completion(prompt, 1, false))
			require.Equal(t, 200, status)
			before := prefilled
			prefilled = b.Runs().Prefilled
			return prefilled - before
		}
		first := text("p", 320)
		require.Equal(t, 320, ask(first))
		_, events := b.do("GET", "/v1/cache", "", "")
		require.JSONEq(t, `{"events":[]}`, events, "events are published with a delay")
		require.Equal(t, 1, ask(first), "only the last token is computed again")
		require.Equal(t, 80, ask(first+text("q", 80)), "only the tail of a longer prompt is computed")
		require.Equal(t, 320, ask(text("r", 320)), "another prompt has no cached blocks")
		// 512 tokens are 32 blocks: the 20 blocks of r and the first 12 of p are kept.
		require.Equal(t, 320-12*16, ask(first))
		time.Sleep(time.Second)
		_, events = b.do("GET", "/v1/cache?after=15", "", "")
		var list struct{ Events []standin.CacheEvent }
		require.NoError(t, json.Unmarshal([]byte(events), &list))
		require.Equal(t, uint64(16), list.Events[0].Position)
		removed := 0
		for _, e := range list.Events {
			require.NotZero(t, e.Position%10, "every tenth event is lost")
			if e.Kind == "removed" {
				removed++
			}
		}
		require.NotZero(t, removed)
	})
}

// Guards against streams that cannot be resumed where they were interrupted, and
// against work that continues after the caller has left.
func TestEndpointStreams(t *testing.T) {
	inBubble(t, slowOptions, func(t *testing.T, b *fixture) {
		_, all, _ := b.start(t.Context(), "a", "hello", 8, true)()
		require.Equal(t, 10, strings.Count(all, "\n\n"))
		status, rest := b.do("GET", "/v1/streams/a?after=4", "", "")
		require.Equal(t, 200, status)
		_, tail, _ := strings.Cut(all, "id: 5\n")
		require.Equal(t, "id: 5\n"+tail, rest)
		time.Sleep(3 * time.Second)
		status, _ = b.do("GET", "/v1/streams/a?after=4", "", "")
		require.Equal(t, 404, status, "a finished stream is removed")

		ctx, cancel := context.WithCancel(t.Context())
		wait := b.start(ctx, "b", "hello", 500, true)
		time.Sleep(50 * time.Millisecond)
		cancel()
		wait()
		time.Sleep(1500 * time.Millisecond)
		require.Zero(t, b.Runs().Cancelled)
		short, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
		b.call(short, b.Handler(), "GET", "/v1/streams/b?after=0", "", "")
		stop()
		time.Sleep(1900 * time.Millisecond)
		require.Zero(t, b.Runs().Cancelled, "a resume restarts the linger time")
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, b.Runs().Cancelled)
		require.Equal(t, 2, b.Runs().Wasted, "a prompt of five bytes has two tokens")

		wait = b.start(t.Context(), "c", text("p", 100), 500, false)
		time.Sleep(time.Second)
		status, _ = b.do("DELETE", "/v1/streams/c", "", "")
		require.Equal(t, 204, status)
		status, _, _ = wait()
		require.Zero(t, status, "a cancelled answer is aborted")
		require.Equal(t, 102, b.Runs().Wasted)
		status, _ = b.do("DELETE", "/v1/streams/c", "", "")
		require.Equal(t, 404, status)

		// After 600 ms the first 512 of 2,000 prompt tokens are prefilled.
		wait = b.start(t.Context(), "d", text("q", 2000), 5, false)
		time.Sleep(600 * time.Millisecond)
		b.do("DELETE", "/v1/streams/d", "", "")
		wait()
		require.Equal(t, 102+512, b.Runs().Wasted, "only prefilled tokens count as wasted")
		require.Len(t, b.Runs().Runs, 4)
	})
}

// Guards against load reports that are more recent than those of real engines.
func TestEndpointLoadLags(t *testing.T) {
	inBubble(t, slowOptions, func(t *testing.T, b *fixture) {
		load := func(want string) {
			t.Helper()
			_, body := b.do("GET", "/v1/load", "", "")
			require.JSONEq(t, want, body)
		}
		load(`{"running":0,"waiting":0,"age":0}`)
		time.Sleep(time.Second)
		for i := range 3 {
			b.start(t.Context(), fmt.Sprint(i), "p", 200, false)
		}
		load(`{"running":0,"waiting":0,"age":250}`)
		time.Sleep(249 * time.Millisecond)
		load(`{"running":0,"waiting":0,"age":250}`)
		time.Sleep(time.Millisecond)
		load(`{"running":2,"waiting":1,"age":250}`)
	})
}

// Guards against faults without effect, and faults that affect the control handler.
func TestEndpointFaults(t *testing.T) {
	var crashes atomic.Int32
	options := slowOptions
	options.Crash = func() { crashes.Add(1) }
	inBubble(t, options, func(t *testing.T, b *fixture) {
		set := func(fault string) {
			status, body := b.call(t.Context(), b.Control(), "PUT", "/control/fault", "", fault)
			require.Equal(t, 204, status, body)
		}
		for _, wrong := range []string{`{"slw":2}`, `{"silence":"some"}`} {
			status, _ := b.call(t.Context(), b.Control(), "PUT", "/control/fault", "", wrong)
			require.Equal(t, 400, status)
		}

		set(`{"slow":3}`)
		_, _, took := b.start(t.Context(), "a", text("p", 10), 2, false)()
		require.InDelta(t, 60*time.Millisecond, took, float64(time.Microsecond))

		set(`{"refuse":0.25}`)
		refused := 0
		for range 20 {
			if status, _ := b.do("POST", "/v1/completions", "r", completion("p", 1, false)); status == 503 {
				refused++
			}
		}
		require.Equal(t, 5, refused)
		require.Equal(t, 5, b.Runs().Refused)

		set(`{"cut":3}`)
		status, body, _ := b.start(t.Context(), "c", "p", 10, true)()
		require.Zero(t, status)
		require.Equal(t, 3, strings.Count(body, "\n\n"))

		set(`{"silence":"open"}`)
		_, _, took = b.start(t.Context(), "d", "p", 1, false)()
		require.Less(t, took, time.Second, "a new request is answered")
		set(`{"silence":"all"}`)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		status, body = b.call(ctx, b.Handler(), "GET", "/health", "", "")
		cancel()
		require.Zero(t, status)
		require.Empty(t, body)

		set(`{"marker":"boom","after":2}`)
		wait := b.start(t.Context(), "e", "boom", 9, true)
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, crashes.Load())
		set(`{"crash":true}`)
		require.EqualValues(t, 1, crashes.Load(), "the endpoint crashes only once")

		var report standin.RunReport
		_, body = b.call(t.Context(), b.Control(), "GET", "/control/runs", "", "")
		require.NoError(t, json.Unmarshal([]byte(body), &report))
		require.Equal(t, b.Runs(), report)
		require.Len(t, report.Runs, 1+15+3)
		require.Equal(t, "e", report.Runs[18].ID)
		b.Close()
		wait()
	})
}

// Guards against answers in a form that OpenAI clients cannot read.
func TestEndpointAnswers(t *testing.T) {
	const chat = `"messages":[{"role":"user","content":"hi"}]`
	wanted, err := standin.GeneratedText([]byte(`{` + chat + `,"max_tokens":2}`))
	require.NoError(t, err)
	tests := map[string]struct {
		method, path, body string
		status             int
		parts              []string
	}{
		"chat": {
			"POST", "/v1/chat/completions", `{"model":"m",` + chat + `,"max_tokens":2}`, 200,
			[]string{`"object":"chat.completion"`, `"content":"` + wanted + `"`, `"prompt_tokens":3,"completion_tokens":2,"total_tokens":5`},
		},
		"chat stream": {
			"POST", "/v1/chat/completions", `{"model":"m",` + chat + `,"max_tokens":2,"stream":true}`, 200,
			[]string{"id: 1\ndata: {", `"delta":{"role":"assistant","content":"`, `"finish_reason":"stop"`, "id: 4\ndata: [DONE]\n\n"},
		},
		"usage":         {"POST", "/v1/completions", `{"prompt":"hi","max_tokens":1,"stream":true,"stream_options":{"include_usage":true}}`, 200, []string{`"choices":[],"usage":{"prompt_tokens":1,`}},
		"adapter":       {"POST", "/v1/completions", `{"model":"ad","prompt":"hi"}`, 200, []string{`"model":"ad"`}},
		"other model":   {"POST", "/v1/completions", `{"model":"other","prompt":"hi"}`, 404, []string{`"error":{`}},
		"not JSON":      {"POST", "/v1/completions", `{`, 400, []string{`"error":{`}},
		"models":        {"GET", "/v1/models", "", 200, []string{`"id":"m"`, `"id":"ad"`}},
		"order held":    {"GET", "/v1/orders", "", 200, []string{`"fence":7`, `"model":"m"`, `"adapters":["ad"]`}},
		"old order":     {"POST", "/v1/orders", `{"fence":6}`, 409, []string{`{"held":7}`}},
		"broken order":  {"POST", "/v1/orders", `x`, 400, nil},
		"no stream":     {"GET", "/v1/streams/none", "", 404, nil},
		"bad position":  {"GET", "/v1/streams/none?after=x", "", 400, nil},
		"unknown path":  {"GET", "/other", "", 404, nil},
		"health":        {"GET", "/health", "", 200, nil},
		"wrong methods": {"GET", "/v1/completions", "", 405, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			options := slowOptions
			options.Fencing = true
			inBubble(t, options, func(t *testing.T, b *fixture) {
				status, _ := b.do("POST", "/v1/orders", "", `{"fence":7,"model":"m","adapters":["ad"],"role":"both"}`)
				require.Equal(t, 200, status)
				status, body := b.do(tt.method, tt.path, "a", tt.body)
				require.Equal(t, tt.status, status, body)
				for _, part := range tt.parts {
					require.Contains(t, body, part)
				}
				if tt.status != 200 || strings.Contains(tt.body, "include_usage") {
					return
				}
				require.False(t, strings.Contains(body, "usage") && strings.Contains(body, "data:"), "usage was not asked for")
			})
		})
	}
}

// Guards against a plain service that does not report its load or how often a body
// has run.
func TestEndpointService(t *testing.T) {
	inBubble(t, standin.EndpointOptions{Kind: standin.KindService}, func(t *testing.T, b *fixture) {
		for runs := 1; runs <= 2; runs++ {
			status, body := b.do("PATCH", "/v1/completions/x", fmt.Sprint(runs), "confirm")
			require.Equal(t, 200, status)
			var answer struct {
				Method, Path, Digest string
				Runs                 int
			}
			require.NoError(t, json.NewDecoder(bytes.NewBufferString(body)).Decode(&answer))
			require.Equal(t, "PATCH", answer.Method)
			require.Equal(t, "/v1/completions/x", answer.Path)
			require.Equal(t, runs, answer.Runs)
			require.Equal(t, runs, b.Runs().Counts[answer.Digest])
		}
		require.Equal(t, "2", b.Runs().Runs[1].ID)
		time.Sleep(time.Second)
		b.SetFault(standin.EndpointFault{Slow: 100})
		wait := b.start(t.Context(), "3", "p", 1, false)
		time.Sleep(250 * time.Millisecond)
		_, body := b.do("GET", "/v1/load", "", "")
		require.JSONEq(t, `{"running":1,"waiting":0,"age":250}`, body)
		wait()
		time.Sleep(250 * time.Millisecond)
		_, body = b.do("GET", "/v1/load", "", "")
		require.JSONEq(t, `{"running":0,"waiting":0,"age":250}`, body)
	})
}
