package main

import (
	"sync"
	"time"
)

// silentRemoval lets the open channels to the store go silent, once the machines have been in
// touch, and then lets a replica leave without a word: its entry is removed and it goes on
// serving. No request may reach it later than drain_ms after the removal, sent on by a machine
// that has been in touch again since the channels went silent.
func silentRemoval(w *world) bool {
	s := newStore(w)
	s.put(wire["config"], []byte(configuration))
	var replicas []*replica
	for i := range 3 {
		x := newReplica(w, i, plainService, zones[i], 6, 30*time.Millisecond)
		x.register(s, "ready")
		replicas = append(replicas, x)
	}
	gateways := w.startGateways(3, s)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, g := range gateways {
		for range 2 {
			load.Go(func() {
				c := newClient(w, g)
				for {
					select {
					case <-stop:
						return
					default:
					}
					c.send("POST", "/verdict/1", time.Second, nil, []byte("{}"))
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	s.awaitWatch(wire["servers"])
	time.Sleep(200 * time.Millisecond)
	// The store is well all the while; only channels that are open now are struck.
	silent := time.Now()
	if w.trouble {
		s.silence()
		w.note("the channels to the store that are open now have gone silent")
	}
	time.Sleep(400 * time.Millisecond)
	leaver := replicas[0]
	removed := s.remove(wire["servers"] + leaver.id)
	w.note("the store has acknowledged that replica %s is gone; it serves on", leaver.id)
	time.Sleep(8 * time.Second)
	close(stop)
	load.Wait()
	return w.judgeRemoval(leaver, removed, silent)
}

// judgeRemoval counts the requests that reached the replica too late.
func (w *world) judgeRemoval(leaver *replica, removed, silent time.Time) bool {
	bound := removed.Add(drainTime)
	if inTouch := silent.Add(stabilityWindow); w.trouble && inTouch.After(bound) {
		bound = inTouch
	}
	late := 0
	var last time.Time
	for _, r := range w.allRuns() {
		if r.replica == leaver.id && r.began.After(bound) {
			late++
			last = r.began
		}
	}
	w.note("removed at %s, no request may reach the replica after %s", w.at(removed), w.at(bound))
	if late > 0 {
		w.note("DRAIN broken: %d requests reached the replica later, the last at %s, %.1f s after the removal", late, w.at(last), last.Sub(removed).Seconds())
	}
	return late > 0
}

// awaitWatch waits until a watch of the prefix begins.
func (s *store) awaitWatch(prefix string) {
	before, _ := s.lastWatch(prefix)
	for n := before; n == before; n, _ = s.lastWatch(prefix) {
		time.Sleep(5 * time.Millisecond)
	}
}
