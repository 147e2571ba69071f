package rig

import (
	"slices"
	"time"
)

// The fake endpoint's continuous batching. A step takes the base time, the time
// of a chunk of prefill and a token for each answer. The numbers give a fast
// replica 12,500 prefill tokens/s and, with 32 answers, 1,480 tokens/s.
const (
	stepBase    = 12 * time.Millisecond
	stepPrefill = 80 * time.Microsecond
	stepDecode  = 300 * time.Microsecond
	chunk       = 512
	slots       = 64
	kvTokens    = 160_000
)

// job is a request inside an endpoint.
type job struct {
	prompt, output int
	// tier is for counting order violations; the endpoint does not use it.
	tier int
	// poison crashes the endpoint when prefill ends.
	poison bool
	// prefilled and decoded are the tokens processed so far.
	prefilled, decoded int
	started, gone      bool
	onFirst, onEnd     func()
	onCrash            func()
}

// endpoint is a fake model engine or plain service. It knows no tiers and takes
// requests in the order in which they came.
type endpoint struct {
	loop *loop
	// slow multiplies every time.
	slow    float64
	down    bool
	running []*job
	// ending is a buffer of finish.
	ending  []*job
	waiting []*job
	kv      int
	// stepping says that a step is under way; epoch counts crashes, so that a
	// step of before a crash is ignored.
	stepping bool
	crashes  int
	// prefill counts all prompt tokens processed, wasted those of jobs that did
	// not end.
	prefill, wasted int
	// busy is the sum of the times of all steps; first and tokens count the
	// prompt tokens of started answers and the tokens of all answers.
	busy          time.Duration
	first, tokens int
	// lastStart is when a job of each tier last got a slot.
	lastStart [3]time.Time
	restart   func()
}

// submit gives a job to the endpoint.
func (e *endpoint) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.step()
}

// cancel takes a job out.
func (e *endpoint) cancel(j *job) {
	if j.gone {
		return
	}
	j.gone = true
	e.wasted += j.prefilled
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kv -= j.prompt + j.output
	}
}

// crash loses every job and restarts after a while.
func (e *endpoint) crash(restart time.Duration) {
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting, e.kv = nil, nil, 0
	e.crashes++
	e.down, e.stepping = true, false
	for _, j := range lost {
		j.gone = true
		e.wasted += j.prefilled
	}
	for _, j := range lost {
		j.onCrash()
	}
	e.loop.after(restart, func() {
		e.down = false
		e.restart()
	})
}

// step admits jobs to slots and starts a step unless one is under way.
func (e *endpoint) step() {
	if e.stepping || e.down {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < slots {
		j := e.waiting[0]
		if e.kv > 0 && e.kv+j.prompt+j.output > kvTokens {
			break
		}
		e.waiting = e.waiting[1:]
		e.kv += j.prompt + j.output
		j.started = true
		e.lastStart[j.tier] = e.loop.now
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		return
	}
	budget, answers := chunk, 0
	for _, j := range e.running {
		if n := min(budget, j.prompt-j.prefilled); n > 0 {
			budget -= n
			j.prefilled += n
			e.prefill += n
		} else if j.prefilled == j.prompt {
			answers++
		}
	}
	took := stepBase + time.Duration(chunk-budget)*stepPrefill + time.Duration(answers)*stepDecode
	took = time.Duration(float64(took) * e.slow)
	e.stepping = true
	crashes := e.crashes
	e.loop.after(took, func() {
		if e.crashes == crashes {
			e.busy += took
			e.finish()
		}
	})
}

// finish ends a step. A job whose prompt is complete gets a token.
func (e *endpoint) finish() {
	e.stepping = false
	e.ending = append(e.ending[:0], e.running...)
	for _, j := range e.ending {
		if j.gone || j.prefilled < j.prompt {
			continue
		}
		if j.poison {
			e.crash(restartTime)
			return
		}
		j.decoded++
		e.tokens++
		if j.decoded == 1 {
			e.first += j.prompt
			j.onFirst()
		}
		if j.decoded == j.output {
			j.gone = true
			e.kv -= j.prompt + j.output
			e.running = slices.Delete(e.running, slices.Index(e.running, j), slices.Index(e.running, j)+1)
			j.onEnd()
		}
	}
	e.step()
}

// restartTime is how long an endpoint takes to come back after a crash.
const restartTime = 15 * time.Second
