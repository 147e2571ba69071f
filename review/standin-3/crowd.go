package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdSize is the number of clients that nobody controls, crowdAddresses the number of
	// addresses from which they come.
	crowdSize      = 1800
	crowdAddresses = 20
	// pieceInterval is the time between two pieces of their bodies.
	pieceInterval = 300 * time.Millisecond
)

// slowCrowd lets a crowd of clients send chunked bodies of legal size piece by piece, in very
// small chunks, and stay open, while ordinary requesters open new channels. The machine, which
// says that it is ready, has to take new channels of these within any stability_window_ms.
// Without the trouble the crowd does not come.
func slowCrowd(w *world) bool {
	s := newStore(w)
	s.put(wire["config"], []byte(configuration))
	for i := range 3 {
		newReplica(w, i, plainService, zones[i], 6, 30*time.Millisecond).register(s, "ready")
		newReplica(w, 10+i, engineService, zones[i], 4, 30*time.Millisecond).register(s, "ready")
	}
	g := w.startGateways(1, s)[0]
	stop := make(chan struct{})
	var crowd, load sync.WaitGroup
	var open, closed, failed atomic.Int64
	if w.trouble {
		for i := range crowdSize {
			crowd.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				w.trickle(g, w.ip(200+i%crowdAddresses), stop, &open, &closed, &failed)
			})
		}
	}
	time.Sleep(2500 * time.Millisecond)
	if failed.Load() > 0 {
		w.cannotRun("%d clients of the crowd got no descriptor or address", failed.Load())
	}
	var mu sync.Mutex
	var taken []time.Time
	tried := 0
	begin := time.Now()
	for i := range 10 {
		load.Go(func() {
			for time.Since(begin) < 9*time.Second {
				c := newClientFrom(w, g, w.ip(230+i))
				a := c.send("POST", "/verdict/1", time.Second, nil, []byte("{}"))
				c.http.CloseIdleConnections()
				mu.Lock()
				tried++
				if a.err == nil {
					taken = append(taken, a.done)
				}
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	notReady := 0
	for time.Since(begin) < 9*time.Second {
		if !g.isReady() {
			notReady++
		}
		w.note("crowd: %d open, %d closed by the machine", open.Load(), closed.Load())
		time.Sleep(500 * time.Millisecond)
	}
	load.Wait()
	end := time.Now()
	close(stop)
	crowd.Wait()
	longest, last := time.Duration(0), begin
	for _, t := range append(taken, end) {
		longest, last = max(longest, t.Sub(last)), t
	}
	w.note("%d of %d attempts of ordinary requesters were answered, the longest time without an answer was %.1f s; not ready: %d times", len(taken), tried, longest.Seconds(), notReady)
	return longest >= stabilityWindow && notReady == 0
}

// trickle sends one body piece by piece until the machine ends the channel.
func (w *world) trickle(g *gateway, from string, stop chan struct{}, open, closed, failed *atomic.Int64) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := dialer.Dial("tcp4", g.callers)
	if err != nil {
		w.note("a client of the crowd gets no channel: %v", err)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			failed.Add(1)
		}
		return
	}
	defer func() { _ = c.Close() }()
	open.Add(1)
	defer open.Add(-1)
	_, err = fmt.Fprintf(c, "POST /appeal/5 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 12000\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		host, wire["id"], nextID(), wire["deadline"], wire["key"], key)
	for err == nil {
		select {
		case <-stop:
			return
		case <-time.After(pieceInterval):
		}
		_, err = fmt.Fprint(c, "1\r\nx\r\n")
	}
	closed.Add(1)
}
