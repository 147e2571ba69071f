package rig

import (
	"slices"
	"time"
)

// Parameters of the simulated endpoint's continuous batching. A step takes the
// base time, the time for a chunk of prefill tokens and the time for one token
// of each answer. These values give a fast replica 12,500 prefill tokens/s and,
// with 32 concurrent answers, 1,480 output tokens/s.
const (
	stepBaseTime        = 12 * time.Millisecond
	prefillTimePerToken = 80 * time.Microsecond
	decodeTimePerToken  = 300 * time.Microsecond
	chunkTokens         = 512
	slots               = 64
	kvCapacityTokens    = 160_000
)

// job is a request at an endpoint.
type job struct {
	promptTokens, outputTokens int
	// tier is used to count priority inversions; the endpoint does not schedule by
	// it.
	tier int
	// poison makes the endpoint crash at the end of the prefill.
	poison bool
	// prefilled and decoded count the tokens processed so far.
	prefilled, decoded int
	// started is true once the job has a slot, ended once it has left the
	// endpoint.
	started, ended bool
	onFirst, onEnd func()
	onCrash        func()
}

// endpoint simulates a model engine or a plain service. It ignores tiers and
// serves jobs in order of arrival.
type endpoint struct {
	loop *loop
	// slowdown multiplies the duration of every step.
	slowdown float64
	down     bool
	running  []*job
	// finishBuffer is the buffer of finish for its copy of running.
	finishBuffer []*job
	waiting      []*job
	kvUsedTokens int
	// stepping is true while a step is in progress. crashes counts crashes, so
	// that the end of a step from before a crash is ignored.
	stepping bool
	crashes  int
	// prefillTokens counts all prompt tokens processed, wastedTokens those of jobs
	// that did not end with an answer.
	prefillTokens, wastedTokens int
	// busy is the total duration of all steps. promptTokens counts the prompt
	// tokens of answers that have started, outputTokens the tokens of all answers.
	busy                       time.Duration
	promptTokens, outputTokens int
	// lastStart is the time at which a job of each tier last got a slot.
	lastStart [3]time.Time
	onRestart func()
}

// submit adds a job and starts a step unless one is in progress.
func (e *endpoint) submit(j *job) {
	e.waiting = append(e.waiting, j)
	e.step()
}

// cancel removes a job that has not ended.
func (e *endpoint) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	e.wastedTokens += j.prefilled
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kvUsedTokens -= j.promptTokens + j.outputTokens
	}
}

// crash ends all jobs without an answer and restarts the endpoint after the
// downtime.
func (e *endpoint) crash(downtime time.Duration) {
	lost := append(slices.Clone(e.running), e.waiting...)
	e.running, e.waiting, e.kvUsedTokens = nil, nil, 0
	e.crashes++
	e.down, e.stepping = true, false
	for _, j := range lost {
		j.ended = true
		e.wastedTokens += j.prefilled
	}
	for _, j := range lost {
		j.onCrash()
	}
	e.loop.after(downtime, func() {
		e.down = false
		e.onRestart()
	})
}

// step gives slots to waiting jobs and starts a step unless one is in progress.
func (e *endpoint) step() {
	if e.stepping || e.down {
		return
	}
	for len(e.waiting) > 0 && len(e.running) < slots {
		j := e.waiting[0]
		if e.kvUsedTokens > 0 && e.kvUsedTokens+j.promptTokens+j.outputTokens > kvCapacityTokens {
			break
		}
		e.waiting = e.waiting[1:]
		e.kvUsedTokens += j.promptTokens + j.outputTokens
		j.started = true
		e.lastStart[j.tier] = e.loop.now
		e.running = append(e.running, j)
	}
	if len(e.running) == 0 {
		return
	}
	budget, answers := chunkTokens, 0
	for _, j := range e.running {
		if n := min(budget, j.promptTokens-j.prefilled); n > 0 {
			budget -= n
			j.prefilled += n
			e.prefillTokens += n
		} else if j.prefilled == j.promptTokens {
			answers++
		}
	}
	took := stepBaseTime + time.Duration(chunkTokens-budget)*prefillTimePerToken + time.Duration(answers)*decodeTimePerToken
	took = time.Duration(float64(took) * e.slowdown)
	e.stepping = true
	crashes := e.crashes
	e.loop.after(took, func() {
		if e.crashes == crashes {
			e.busy += took
			e.finish()
		}
	})
}

// finish ends a step. Each job whose prefill is complete gets a token.
func (e *endpoint) finish() {
	e.stepping = false
	e.finishBuffer = append(e.finishBuffer[:0], e.running...)
	for _, j := range e.finishBuffer {
		if j.ended || j.prefilled < j.promptTokens {
			continue
		}
		if j.poison {
			e.crash(restartTime)
			return
		}
		j.decoded++
		e.outputTokens++
		if j.decoded == 1 {
			e.promptTokens += j.promptTokens
			j.onFirst()
		}
		if j.decoded == j.outputTokens {
			j.ended = true
			e.kvUsedTokens -= j.promptTokens + j.outputTokens
			e.running = slices.Delete(e.running, slices.Index(e.running, j), slices.Index(e.running, j)+1)
			j.onEnd()
		}
	}
	e.step()
}

// restartTime is the downtime of an endpoint after a crash.
const restartTime = 15 * time.Second
