// Package rig simulates the decision code in virtual time: the queue, limit,
// estimate, policy, health and budget packages run unchanged between simulated
// callers and endpoints, and are compared with baselines that leave queueing to
// the endpoint. It serves tests and measurements and is not part of the product.
// Start from [Run].
package rig

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a function scheduled for a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap with the earliest event first, and equal times in order of
// insertion. It implements heap.Interface.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// loop is an event loop in virtual time.
type loop struct {
	now    time.Time
	events events
	seq    int
}

// after schedules f. Events of equal times run in the order in which they were
// scheduled.
func (l *loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.seq, run: f})
}

// run runs the events up to the end time and sets the clock to it.
func (l *loop) run(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
