package agent

import (
	"bytes"
	"context"
	"sync"

	"damasktrail.dev"
	"damasktrail.dev/ticket"
)

// recording is the answer of a request with a ticket. Several callers that sent
// the ticket read it from the start, also while it grows.
type recording struct {
	mu sync.Mutex
	// grown is closed and replaced at each change.
	grown chan struct{}
	first *damasktrail.Head
	// parts are never modified once appended.
	parts   [][]byte
	ended   bool
	refusal *damasktrail.Refusal
	usage   damasktrail.Usage
}

func newRecording() *recording {
	return &recording{grown: make(chan struct{})}
}

func (r *recording) head(h damasktrail.Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = &h
	r.wake()
	return nil
}

func (r *recording) chunk(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = append(r.parts, bytes.Clone(data))
	r.wake()
	return nil
}

// finish ends the recording; refusal is nil when the answer is whole.
func (r *recording) finish(usage damasktrail.Usage, refusal *damasktrail.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.usage, r.refusal = true, usage, refusal
	r.wake()
}

// wake needs mu.
func (r *recording) wake() {
	close(r.grown)
	r.grown = make(chan struct{})
}

// answer returns the whole answer for the ledger.
func (r *recording) answer(usage damasktrail.Usage) ticket.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := ticket.Answer{Usage: usage, Body: bytes.Join(r.parts, nil)}
	if r.first != nil {
		res.Status, res.Type = r.first.Status, r.first.Type
	}
	return res
}

// replay passes the recording to out from its start until its end. The error is
// that of out or of ctx.
func (r *recording) replay(ctx context.Context, out sink) (damasktrail.Usage, *damasktrail.Refusal, error) {
	sent, headed := 0, false
	for {
		r.mu.Lock()
		head, parts, ended, refusal, usage, grown := r.first, r.parts[sent:], r.ended, r.refusal, r.usage, r.grown
		r.mu.Unlock()
		if head != nil && !headed {
			headed = true
			if err := out.head(*head); err != nil {
				return usage, nil, err
			}
		}
		for _, p := range parts {
			if err := out.chunk(p); err != nil {
				return usage, nil, err
			}
		}
		sent += len(parts)
		if ended {
			return usage, refusal, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return usage, nil, ctx.Err()
		}
	}
}
