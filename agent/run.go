package agent

import (
	"context"
	"errors"
	"hash/crc64"
	"io"
	"runtime/debug"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/link"
)

// answerTimeoutSlack is the time past its deadline for which a non-streaming
// answer is still awaited.
const answerTimeoutSlack = 2 * time.Second

var crcTable = crc64.MakeTable(crc64.ECMA)

// sink receives an answer: its head, then its chunks.
type sink interface {
	head(h damasktrail.Head) error
	chunk(data []byte) error
}

// relay runs a dispatched request and sends its answer on the stream.
func (a *Agent) relay(s *attempt, w *work, open frame.Open) {
	out := &streamSink{stream: s.Stream}
	usage, refusal, _ := a.run(s.Context(), w, open, out)
	if refusal != nil {
		a.refuse(s, refusal)
		return
	}
	a.sendEnd(s, out, usage)
}

// sendEnd sends the last frame of a complete answer.
func (a *Agent) sendEnd(s *attempt, out *streamSink, usage damasktrail.Usage) {
	err := s.Send(frame.KindEnd, frame.End{
		Chunks:     out.chunks,
		Digest:     out.digest,
		Prefill:    usage.Prefill,
		Decode:     usage.Decode,
		Load:       *a.latestLoad.Load(),
		Generation: a.rollout.Generation(),
	})
	if err != nil {
		s.Cancel()
		return
	}
	s.reportedUnixNano.Store(a.clock.Now().UnixNano())
	_ = s.CloseSend()
}

// run sends a request to the endpoint, once and without retries, and passes the
// answer to out. sent is false if no byte of the request reached the endpoint, which
// cannot be reached then. Once run has returned, the published load is without the
// request.
func (a *Agent) run(ctx context.Context, w *work, open frame.Open, out sink) (usage damasktrail.Usage, refusal *damasktrail.Refusal, sent bool) {
	complete := false
	sent = true
	defer func() {
		a.apply(func(c *control, now time.Time) {
			if !sent {
				c.undispatched(w, now)
				return
			}
			c.finish(w, complete, now)
		})
	}()
	defer func() {
		if v := recover(); v != nil {
			a.recordPanic(v)
			refusal = &damasktrail.Refusal{Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown, Detail: "the agent failed while it ran the request"}
		}
	}()
	answer, err := a.engine.Run(ctx, damasktrail.Call{
		ID:     open.ID,
		Method: open.Method,
		Path:   open.Path,
		Type:   open.Type,
		Body:   open.Body,
		Stream: open.Stream,
		// The deadline counts from the arrival at the entry and this timeout
		// from the dispatch, so the time in the queue is part of the slack.
		IdleTimeout: w.request.Deadline + answerTimeoutSlack,
	})
	if err != nil {
		sent = ctx.Err() != nil || !errors.Is(err, damasktrail.ErrNotDispatched)
		return usage, a.failureRefusal(ctx, w, err), sent
	}
	defer func() { _ = answer.Close() }()
	if err := out.head(answer.Head()); err != nil {
		return usage, cancelledRefusal(), true
	}
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			complete = true
			if !open.Stream {
				w.tokens.Store(int64(answer.Usage().Decode))
			}
			return answer.Usage(), nil, true
		}
		if err != nil {
			return answer.Usage(), a.failureRefusal(ctx, w, err), true
		}
		if open.Stream && w.tokens.Add(1) == 1 {
			a.post(func(c *control, now time.Time) { c.recordFirstToken(w, now) })
		}
		if err := out.chunk(data); err != nil {
			return answer.Usage(), cancelledRefusal(), true
		}
	}
}

// recordPanic counts and logs a panic that ends one request and not the agent.
func (a *Agent) recordPanic(value any) {
	a.metrics.Count("panics", 1)
	a.log.Error("request failed with a panic", "panic", value, "stack", string(debug.Stack()))
}

func cancelledRefusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown,
		Detail: "the entry cancelled the request while it ran",
	}
}

// failureRefusal converts an error of the endpoint into a refusal.
func (a *Agent) failureRefusal(ctx context.Context, w *work, err error) *damasktrail.Refusal {
	switch {
	case errors.Is(err, damasktrail.ErrNotDispatched):
		a.log.Info("request did not reach the endpoint", "fingerprint", w.request.Fingerprint, "error", err)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
			RetryAfter: unavailableRetryAfter, Detail: "the endpoint cannot be reached",
		}
	case ctx.Err() != nil:
		a.log.Info("request cancelled while it ran", "fingerprint", w.request.Fingerprint, "error", err)
		return cancelledRefusal()
	case errors.Is(err, damasktrail.ErrCrashed):
		a.log.Warn("endpoint crashed", "fingerprint", w.request.Fingerprint, "error", err)
		a.reportCrash(w)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonCrashed, Outcome: damasktrail.Unknown,
			RetryAfter: time.Second, Detail: "the endpoint crashed while it ran the request",
		}
	default:
		a.log.Warn("answer from the endpoint was cut off", "error", err)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
			RetryAfter: time.Second, Detail: "the endpoint's answer was cut",
		}
	}
}

// reportCrash records the request as a suspect and notifies all entries before
// its refusal can reach the caller.
func (a *Agent) reportCrash(w *work) {
	a.apply(func(c *control, now time.Time) {
		if suspects := c.recordCrash(w, now); suspects != nil {
			a.sendHeartbeats(c, now)
		}
	})
}

// streamSink sends an answer on a stream.
type streamSink struct {
	stream *link.Stream
	chunks uint64
	digest uint64
}

func (o *streamSink) head(h damasktrail.Head) error {
	return o.stream.Send(frame.KindHead, frame.Head{Status: h.Status, Type: h.Type})
}

func (o *streamSink) chunk(data []byte) error {
	err := o.stream.SendChunk(frame.Chunk{Position: o.chunks, Data: data})
	o.chunks++
	o.digest = crc64.Update(o.digest, crcTable, data)
	return err
}
