package standin

import (
	"context"
	"slices"
	"time"
)

// chunkTokens bounds the prompt tokens that one step prefills, so that a long
// prompt delays the decoding of others by a bounded time.
const chunkTokens = 512

// stream is one completion inside the endpoint. The endpoint's lock guards it.
type stream struct {
	id     string
	chat   bool
	usage  bool
	model  string
	marked bool
	// tokens is the text to generate; produced counts those generated.
	tokens   []string
	produced int
	// hashes are the cache blocks of the prompt, prompt its tokens.
	hashes []uint64
	prompt int
	// remaining is the number of prompt tokens still to prefill, spent those done.
	remaining, spent int
	// events are the encoded server-sent events; event N has index N-1.
	events [][]byte
	// ended is true once finished or cancelled; nothing changes afterwards.
	ended, cancelled bool
	// readers counts the connections that follow the stream.
	readers int
	// detached counts the times when the last reader went away.
	detached int
	// changed is closed and replaced when events or ended change.
	changed chan struct{}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// loadReading is the number of requests inside the endpoint from a time on.
type loadReading struct {
	at               time.Time
	running, waiting int
}

// submit queues s and starts the batch when it is idle. The caller holds the lock.
func (e *Endpoint) submit(s *stream) {
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	e.admit()
	if !e.stepping {
		e.stepping = e.tasks.Go(e.run)
	}
}

// admit moves waiting requests into the batch. The caller holds the lock.
func (e *Endpoint) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Batch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		hit := e.cache.hit(s.hashes) * blockTokens
		// The last token is always computed, since its output is the first token.
		s.remaining = max(1, s.prompt-hit)
		e.running = append(e.running, s)
	}
	e.noteLoad()
}

// noteLoad records the current counts. The caller holds the lock.
func (e *Endpoint) noteLoad() {
	now := e.clock.Now()
	old := now.Add(-e.options.LoadLag)
	for len(e.loads) > 1 && !e.loads[1].at.After(old) {
		e.loads = e.loads[1:]
	}
	e.loads = append(e.loads, loadReading{now, len(e.running) + e.serving, len(e.waiting)})
}

// run steps the batch until it is empty.
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

// plan chooses the prompt tokens that the next step prefills for each request
// and returns the duration of the step. The caller holds the lock.
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

// apply gives the batch the results of a step and reports whether a marked
// request crashes the endpoint.
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
			s.spent += chunks[i]
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

// produce adds the next token of s. The caller holds the lock.
func (e *Endpoint) produce(s *stream) {
	s.events = append(s.events, e.encodeToken(s, s.tokens[s.produced]))
	s.produced++
	if s.produced == len(s.tokens) {
		s.events = append(s.events, e.encodeEnd(s)...)
		s.ended = true
	}
	s.notify()
}

// cancel ends s and counts its prefill as wasted. The caller holds the lock.
func (e *Endpoint) cancel(s *stream) {
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	if s.ended {
		return
	}
	s.ended, s.cancelled = true, true
	e.report.Wasted += s.spent
	e.report.Cancelled++
	gone := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
	e.admit()
	s.notify()
}

// detach notes that a reader of s is gone. A stream that stays without readers
// for the linger time is cancelled and forgotten.
func (e *Endpoint) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	s.detached++
	detached := s.detached
	e.clock.Schedule(e.options.Linger, func(time.Time) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 && s.detached == detached {
			e.cancel(s)
		}
	})
}
