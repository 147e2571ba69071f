package standin

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// hugeUsage is a request for far more tokens than any replica holds.
	hugeUsage = "1000000000000000,80"
	// hangTimeout is the timeout of the route of the ordinary requests, answerSlack the
	// time after it at which the rule looks.
	hangTimeout = time.Second
	answerSlack = 500 * time.Millisecond
	// abandonGap is the gap after which requesters abandon a stream: four times the
	// objective.
	abandonGap = 2400 * time.Millisecond
)

// counts are of the ordinary requests at one gateway.
type counts struct {
	// long lasted longer than the timeout of their route, unanswered of them had no final
	// answer answerSlack after it.
	sent, served, long, unanswered int
}

// broken applies the rule CONFIG.
func (c counts) broken() bool { return c.unanswered >= 8 && 4*c.unanswered > c.long }

// playHang lets one request ask for more tokens than a replica's memory, and then watches
// whether ordinary requests are answered by the timeout of their route.
func playHang(w *world) (bool, error) {
	w.routes = []any{
		route("lohu930", "streaming", "pisarz", 12000, 2),
		route("cufi504", "idempotent", "sklep", int(hangTimeout.Milliseconds()), 2),
	}
	w.tenants = []any{tenant("hule930", 72614), tenant("kado112", 72614)}
	for i := range 2 {
		for j, service := range []string{"pisarz", "sklep"} {
			if _, err := w.startReplica(fmt.Sprintf("i-%d%d", i, j), service, fmt.Sprintf("%s.%d:8080", w.net, 100+2*i+j), 30*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	w.configure()
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	before := w.ordinary(20)
	w.note("before: %+v", before)
	for _, c := range before {
		if c.served < c.sent {
			return false, fmt.Errorf("requests fail before the disruption")
		}
	}
	usage := hugeUsage
	if !w.trouble {
		usage = "1460,80"
	}
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		// One attempt and, as it is abandoned, one retry, which reaches the other gateway.
		for _, g := range w.gateways {
			w.note("request with Token-Usage: %s", usage)
			a := w.send(g.address(), request{
				id: w.newID(), method: http.MethodPost, path: "/lohu930/2f", body: "prompt", wait: abandonGap,
				fields: []string{"Model: m", "Token-Usage: " + usage, "Prefix-Hash: 5c1e07a2:800,91bd3f06:660", "Deadline-Ms: 12000", "X-Api-Key: hule930-key"},
			})
			if a.status != 0 {
				return
			}
		}
	}()
	after := w.ordinary(100)
	done.Wait()
	w.note("after: %+v", after)
	last := w.ordinary(20)
	w.note("10 s later: %+v", last)
	for _, g := range w.gateways {
		w.note("%s says that it is ready: %v", g.name, g.ready())
	}
	// How the processes end does not decide the case.
	for _, g := range w.gateways {
		g.signal(syscall.SIGTERM)
	}
	grace := time.After(8 * time.Second)
	for _, g := range w.gateways {
		select {
		case <-g.exited:
			w.note("%s has ended", g.name)
		case <-grace:
			w.note("%s has not ended within grace_s, user time so far %v", g.name, g.userTime())
			grace = time.After(0)
		}
	}
	return !after[0].broken() && !after[1].broken(), nil
}

// ordinary sends n requests to each of two gateways, ten a second, of another tenant than
// the one with the large request. They wait longer than the timeout of their route.
func (w *world) ordinary(n int) (res [2]counts) {
	var mu sync.Mutex
	var done sync.WaitGroup
	for range n {
		for i, g := range w.gateways {
			done.Add(1)
			go func() {
				defer done.Done()
				a := w.send(g.address(), request{
					id: w.newID(), method: http.MethodGet, path: "/cufi504/fi50/2f", wait: hangTimeout + answerSlack + 100*time.Millisecond,
					fields: []string{"Deadline-Ms: 3000", "X-Api-Key: kado112-key"},
				})
				mu.Lock()
				defer mu.Unlock()
				c := &res[i]
				c.sent++
				if a.status == http.StatusOK {
					c.served++
				}
				if a.took > hangTimeout {
					c.long++
				}
				if a.took > hangTimeout+answerSlack {
					c.unanswered++
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
	}
	done.Wait()
	return res
}
