package agent

import (
	"bytes"
	"context"
	"sync"

	"damasktrail.dev"
	"damasktrail.dev/ticket"
)

// recording is the answer of a request with a ticket. Each caller that sent the
// ticket reads it from the start, even while it is still growing.
type recording struct {
	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed    chan struct{}
	answerHead *damasktrail.Head
	// chunks are never modified once appended.
	chunks  [][]byte
	ended   bool
	refusal *damasktrail.Refusal
	usage   damasktrail.Usage
}

func newRecording() *recording {
	return &recording{changed: make(chan struct{})}
}

func (r *recording) head(h damasktrail.Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answerHead = &h
	r.notify()
	return nil
}

func (r *recording) chunk(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, bytes.Clone(data))
	r.notify()
	return nil
}

// finish ends the recording; refusal is nil when the answer is complete.
func (r *recording) finish(usage damasktrail.Usage, refusal *damasktrail.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.usage, r.refusal = true, usage, refusal
	r.notify()
}

// notify wakes the readers. The caller holds mu.
func (r *recording) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// answer returns the complete answer for the ledger.
func (r *recording) answer(usage damasktrail.Usage) ticket.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := ticket.Answer{Usage: usage, Body: bytes.Join(r.chunks, nil)}
	if r.answerHead != nil {
		res.Status, res.Type = r.answerHead.Status, r.answerHead.Type
	}
	return res
}

// replay passes the recording to out from its start until its end. It returns
// an error of out or of ctx.
func (r *recording) replay(ctx context.Context, out sink) (damasktrail.Usage, *damasktrail.Refusal, error) {
	sent, headSent := 0, false
	for {
		r.mu.Lock()
		head, chunks, ended, refusal, usage, changed := r.answerHead, r.chunks[sent:], r.ended, r.refusal, r.usage, r.changed
		r.mu.Unlock()
		if head != nil && !headSent {
			headSent = true
			if err := out.head(*head); err != nil {
				return usage, nil, err
			}
		}
		for _, p := range chunks {
			if err := out.chunk(p); err != nil {
				return usage, nil, err
			}
		}
		sent += len(chunks)
		if ended {
			return usage, refusal, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return usage, nil, ctx.Err()
		}
	}
}
