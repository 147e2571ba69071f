// Command load sends requests of several organisations and tiers to entries and
// checks that each caller gets the whole answer to its own request.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"damasktrail.dev/group"
	"damasktrail.dev/standin"
)

type options struct {
	Entries  []string      `long:"entry" required:"true" description:"base URL of an entry; may be repeated"`
	Callers  []string      `long:"caller" required:"true" description:"KEY or KEY:TIER; may be repeated"`
	Model    string        `long:"model" required:"true" description:"model to ask for"`
	Requests int           `long:"requests" default:"30" description:"requests to send, at most 100000"`
	Interval time.Duration `long:"interval" default:"50ms" description:"time between two requests"`
	Tokens   int           `long:"tokens" default:"40" description:"longest answer in tokens"`
	Prompt   int           `long:"prompt" default:"2000" description:"longest prompt in bytes"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of lengths"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"longest wait for one answer"`
	Verbose  bool          `long:"verbose" description:"print a line for each request"`
}

// maxRequests limits a run, so that a mistaken flag does not make it endless.
const maxRequests = 100_000

// result is the result of one request.
type result struct {
	caller string
	kind   string
	// outcome is whole, refused, wrong or cut.
	outcome string
	detail  string
	// firstToken is the time to the first token, or to the end of an answer that
	// is not streamed.
	firstToken time.Duration
	total      time.Duration
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	o.Requests = min(o.Requests, maxRequests)
	results := run(o)
	if !summarise(os.Stdout, o, results) {
		os.Exit(1)
	}
}

// run sends all requests and returns their results in the order of sending.
func run(o options) []result {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	results := make([]result, o.Requests)
	tasks := group.New(context.Background())
	for i := range results {
		call := newCall(o, i, random)
		tasks.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, o.Timeout)
			defer cancel()
			results[i] = call.send(ctx)
		})
		pause(o.Interval)
	}
	tasks.Wait()
	return results
}

// pause waits for d with the timeout of a context, which needs no separate timer.
func pause(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	<-ctx.Done()
}

// call is one request.
type call struct {
	url, key, tier string
	stream         bool
	body           []byte
}

func newCall(o options, i int, random *rand.Rand) call {
	key, tier, _ := strings.Cut(o.Callers[i%len(o.Callers)], ":")
	stream := i%3 != 2
	words := 1 + random.IntN(max(o.Prompt/8, 1))
	body, err := json.Marshal(map[string]any{
		"model":      o.Model,
		"stream":     stream,
		"max_tokens": 1 + random.IntN(max(o.Tokens, 1)),
		"messages": []map[string]string{
			{"role": "user", "content": fmt.Sprintf("request %d %s", i, strings.Repeat("weaving ", words))},
		},
	})
	if err != nil {
		panic(err) // Encoding strings, numbers and booleans cannot fail.
	}
	return call{url: o.Entries[i%len(o.Entries)], key: key, tier: tier, stream: stream, body: body}
}

// send sends the request and compares the answer with the text that the stand-in
// endpoint must generate for it.
func (c call) send(ctx context.Context) result {
	res := result{caller: c.key, kind: "whole", outcome: "whole"}
	if c.tier != "" {
		res.caller += ":" + c.tier
	}
	if c.stream {
		res.kind = "stream"
	}
	start := time.Now()
	text, first, err := c.exchange(ctx, start)
	res.firstToken, res.total = first, time.Since(start)
	want, wantErr := standin.GeneratedText(c.body)
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		res.outcome, res.detail = "refused", refused.Error()
	case err != nil:
		res.outcome, res.detail = "cut", err.Error()
	case wantErr != nil || text != want:
		res.outcome, res.detail = "wrong", fmt.Sprintf("got %d bytes, want %d", len(text), len(want))
	}
	return res
}

// refusedError is a refusal by the entry.
type refusedError struct {
	status          int
	reason, outcome string
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("%d %s (%s)", e.status, e.reason, e.outcome)
}

func (c call) exchange(ctx context.Context, start time.Time) (text string, first time.Duration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/chat/completions", bytes.NewReader(c.body))
	if err != nil {
		return "", 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	if c.tier != "" {
		request.Header.Set("Damasktrail-Tier", c.tier)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return "", 0, &refusedError{
			status:  answer.StatusCode,
			reason:  answer.Header.Get("Damasktrail-Reason"),
			outcome: answer.Header.Get("Damasktrail-Outcome"),
		}
	}
	if c.stream {
		return readStream(answer.Body, start)
	}
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", 0, err
	}
	text, err = content(data)
	return text, time.Since(start), err
}
