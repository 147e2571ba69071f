package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"
)

const (
	// shortestStream is the number of events of the shortest long stream.
	shortestStream = 90
	eventPause     = 60 * time.Millisecond
)

// leavingReplicas lets two of four replicas leave as planned, one after the other, while they
// write answers without a length. Each reports that it drains, serves for drain_ms and a second
// longer, closes its port, brings the answers that it has begun to their end and exits. Each
// answer ends in order with its channel. A machine may not close kept channels of requesters
// without the whole answer. Without the trouble no replica leaves.
func leavingReplicas(w *world) bool {
	s := newStore(w)
	s.put(wire["config"], []byte(configuration))
	var replicas []*replica
	for i := range 4 {
		x := newReplica(w, i, engineService, zones[i%len(zones)], 4, 100*time.Millisecond)
		x.answer = x.streamAnswer
		x.register(s, "ready")
		replicas = append(replicas, x)
	}
	g := w.startGateways(1, s)[0]
	var mu sync.Mutex
	var answers []answer
	var load sync.WaitGroup
	for i := range 16 {
		load.Go(func() {
			c := newClient(w, g)
			// The channel is kept: it has carried a request before.
			c.send("POST", "/appeal/2", 3*time.Second, nil, []byte("{}"))
			target := fmt.Sprintf("/appeal/%d", shortestStream+4*i)
			a := c.send("POST", target, 12*time.Second, map[string]string{wire["tokens"]: "800,270", wire["model"]: "m"}, []byte("{}"))
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		for _, x := range replicas[:2] {
			load.Go(func() { x.leave(s) })
			time.Sleep(500 * time.Millisecond)
		}
	}
	load.Wait()
	return w.judgeLeaving(answers)
}

// leave ends the replica as planned.
func (x *replica) leave(s *store) {
	drains := x.register(s, "draining")
	x.world.note("the store has acknowledged that replica %s drains", x.id)
	time.Sleep(time.Until(drains.Add(drainTime + time.Second)))
	x.stop()
	x.world.note("replica %s takes no more channels, ends the answers that it has begun and then exits", x.id)
	x.awaitIdle()
	s.remove(wire["servers"] + x.id)
	x.exit()
	x.world.note("replica %s has ended its answers and exits", x.id)
}

// awaitIdle waits until the replica works on nothing.
func (x *replica) awaitIdle() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for x.running > 0 {
		x.idle.Wait()
	}
}

// streamAnswer answers with events. It states no length and ends the channel in order.
func (x *replica) streamAnswer(c net.Conn, r *http.Request, id string) bool {
	events := eventCount(r)
	if _, err := io.WriteString(c, x.head(id, "text/event-stream", "Connection: close")); err != nil {
		return false
	}
	for i := range events {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: event %d of %d\n\n", i+1, i+1, events); err != nil {
			x.world.note("replica %s cannot write event %d of %s: %v", x.id, i+1, id, err)
			return false
		}
		time.Sleep(eventPause)
	}
	x.world.note("replica %s has written all of %s and ends the channel", x.id, id)
	return false
}

// judgeLeaving counts the answers that the replica gave whole and the requester did not get.
func (w *world) judgeLeaving(answers []answer) bool {
	whole := map[string]bool{}
	for _, r := range w.allRuns() {
		if !r.ended.IsZero() {
			whole[r.id] = true
		}
	}
	lost := 0
	for _, a := range answers {
		if whole[a.id] && a.err != nil {
			lost++
		}
	}
	w.note("%d of %d channels were closed before the end of an answer that the replica had given whole", lost, len(answers))
	if lost > 3 {
		w.note("LOST broken: more than three")
	}
	return lost > 3
}

// eventCount returns the number of events that a request asks for: the last part of its path.
func eventCount(r *http.Request) int {
	n, _ := strconv.Atoi(path.Base(r.URL.Path))
	return n
}
