package standin2

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// stopCase stops a gateway with SIGTERM while requesters send their requests: they have sent
// the head and a byte of the body, and send the rest 6.2 s after the signal. It checks that no
// channel ends without a complete answer after its request has been passed on to a replica.
func stopCase(w *world) bool {
	const (
		pause = 6200 * time.Millisecond
		// untilEnd is 1 s after grace_s.
		untilEnd = 9 * time.Second
	)
	w.store.put("op/config", config(1, readers("key-kept")))
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, w.startReplica(fmt.Sprintf("i-%d", i), "pisarz", 4, noteAnswer))
	}
	gateways := w.startGateways(2)
	w.settle()
	var stopped time.Time
	signalled := make(chan struct{})
	var broken atomic.Int64
	var wg sync.WaitGroup
	const requesters = 6
	for i := range requesters {
		wg.Go(func() {
			id := fmt.Sprintf("a%015d", i)
			c, err := open(gateways[0].front, 30*time.Second)
			must(err)
			defer func() { _ = c.Close() }()
			text, head := noteRequest(id, "key-kept")
			must(c.send(text[:head+1]))
			<-signalled
			time.Sleep(time.Until(stopped.Add(pause)))
			err = c.send(text[head+1:])
			w.logf("%s: the last byte is sent %v after the signal, error %v", id, time.Since(stopped).Round(time.Millisecond), err)
			a, err := c.receive("POST")
			ended := time.Since(stopped)
			runs := 0
			for _, r := range replicas {
				runs += len(r.ran(id))
			}
			w.logf("%s: status %d, %d bytes, error %v, %v after the signal; it ran %d times", id, a.status, len(a.body), err, ended.Round(time.Millisecond), runs)
			if err != nil && runs > 0 && ended < untilEnd {
				broken.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped = time.Now()
	other, err := open(gateways[0].front, 30*time.Second)
	must(err)
	if *trouble {
		gateways[0].signal(syscall.SIGTERM)
	}
	close(signalled)
	time.Sleep(time.Until(stopped.Add(pause)))
	// A request that the gateway reads at the same time from its head on is refused.
	text, _ := noteRequest("b000000000000000", "key-kept")
	a, err := other.do(text)
	w.logf("request begun at the same time on an open channel: status %d, error %v", a.status, err)
	wg.Wait()
	w.logf("%d of %d channels ended without a complete answer", broken.Load(), requesters)
	return broken.Load() > 0
}
