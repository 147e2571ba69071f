package standin

import (
	"context"
	"slices"
	"time"
)

// chunkTokens is the maximum number of prompt tokens that one step prefills. It
// bounds the time by which a long prompt delays the decoding of other requests.
const chunkTokens = 512

// stream is one completion inside the endpoint. The endpoint's lock guards it.
type stream struct {
	id           string
	chat         bool
	includeUsage bool
	model        string
	marked       bool
	// tokens is the text to generate; produced is the number of tokens generated
	// so far.
	tokens   []string
	produced int
	// hashes are those of the prompt's cache blocks, promptTokens is the prompt's
	// number of tokens.
	hashes       []uint64
	promptTokens int
	// remaining is the number of prompt tokens still to prefill, prefilled the
	// number of those that are done.
	remaining, prefilled int
	// events are the encoded server-sent events; event N has index N-1.
	events [][]byte
	// ended is true once the stream is finished or cancelled. Its events do not
	// change afterwards.
	ended, cancelled bool
	// readers counts the connections that follow the stream.
	readers int
	// detachments counts how often the last reader has left. A linger timer that
	// was set at an earlier count has no effect.
	detachments int
	// changed is closed and replaced when events or ended change.
	changed chan struct{}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// loadSample is the number of running and waiting requests from a point in time on.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// submit queues s and starts the batch if it is idle. The caller holds the lock.
func (e *Endpoint) submit(s *stream) {
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	e.admit()
	if !e.stepping {
		e.stepping = e.tasks.Go(e.run)
	}
}

// admit moves waiting requests into free slots of the batch. The caller holds the
// lock.
func (e *Endpoint) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Batch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		cachedTokens := e.cache.lookup(s.hashes) * blockTokens
		// The last prompt token is always computed, because its output is the first
		// token of the answer.
		s.remaining = max(1, s.promptTokens-cachedTokens)
		e.running = append(e.running, s)
	}
	e.recordLoad()
}

// recordLoad records the current counts. The caller holds the lock.
func (e *Endpoint) recordLoad() {
	now := e.clock.Now()
	old := now.Add(-e.options.LoadLag)
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(old) {
		e.loadHistory = e.loadHistory[1:]
	}
	e.loadHistory = append(e.loadHistory, loadSample{now, len(e.running) + e.serving, len(e.waiting)})
}

// run executes steps of the batch until it is empty or the endpoint has crashed.
func (e *Endpoint) run(ctx context.Context) {
	for {
		e.mu.Lock()
		if len(e.running) == 0 || e.crashed {
			e.stepping = false
			e.mu.Unlock()
			return
		}
		batch, chunks, d := e.plan()
		e.mu.Unlock()
		if e.clock.Sleep(ctx, d) != nil {
			return
		}
		if e.apply(batch, chunks) {
			e.crash()
			return
		}
	}
}

// plan returns the requests of the next step, the number of prompt tokens that the
// step prefills for each of them, and its duration. The caller holds the lock.
func (e *Endpoint) plan() (batch []*stream, chunks []int, d time.Duration) {
	batch = slices.Clone(e.running)
	chunks = make([]int, len(batch))
	room := chunkTokens
	decoding := 0
	for i, s := range batch {
		chunks[i] = min(s.remaining, room)
		room -= chunks[i]
		if s.remaining == 0 {
			decoding++
		}
	}
	d = time.Duration(float64(chunkTokens-room) / e.options.PrefillRate * float64(time.Second))
	if decoding > 0 {
		d += e.options.Step + time.Duration(decoding-1)*e.options.StepGrowth
	}
	if e.fault.Slow > 0 {
		d = time.Duration(float64(d) * e.fault.Slow)
	}
	return batch, chunks, d
}

// apply adds the results of a step to the requests of the batch and reports whether
// a marked request crashes the endpoint.
func (e *Endpoint) apply(batch []*stream, chunks []int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for i, s := range batch {
		if s.ended {
			continue
		}
		if chunks[i] > 0 {
			s.remaining -= chunks[i]
			s.prefilled += chunks[i]
			e.report.Prefilled += chunks[i]
			if s.remaining == 0 {
				e.cache.store(s.hashes, now)
			}
		}
		if s.remaining > 0 {
			continue
		}
		if s.marked && s.produced >= e.fault.After {
			return true
		}
		if chunks[i] == 0 || s.produced == 0 {
			e.produce(s)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.ended })
	e.admit()
	return false
}

// produce generates the next token of s. The caller holds the lock.
func (e *Endpoint) produce(s *stream) {
	s.events = append(s.events, e.encodeToken(s, s.tokens[s.produced]))
	s.produced++
	if s.produced == len(s.tokens) {
		s.events = append(s.events, e.encodeEnd(s)...)
		s.ended = true
	}
	s.notify()
}

// cancel ends and removes s and counts its prefilled tokens as wasted if it was not
// finished. The caller holds the lock.
func (e *Endpoint) cancel(s *stream) {
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	if s.ended {
		return
	}
	s.ended, s.cancelled = true, true
	e.report.Wasted += s.prefilled
	e.report.Cancelled++
	isCancelled := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, isCancelled)
	e.running = slices.DeleteFunc(e.running, isCancelled)
	e.admit()
	s.notify()
}

// detach records that a reader of s has left. A stream that has no reader for the
// linger time is cancelled and removed.
func (e *Endpoint) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	s.detachments++
	detachments := s.detachments
	e.clock.Schedule(e.options.Linger, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 && s.detachments == detachments {
			e.cancel(s)
		}
	})
}
