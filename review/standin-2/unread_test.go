package standin2

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unread"] = unreadCase }

// unreadCase has replicas that begin to answer before they have read a long body, keep the
// channel and read on 4 s later. It checks that not more than three channels are closed
// without the answer.
func unreadCase(w *world) bool {
	const (
		unreadEvents, events = 20, 22
		interval             = 200 * time.Millisecond
		bodyBytes            = 55_000
		tolerated            = 3
	)
	w.store.put("op/config", config(1, readers("key-kept")))
	for i := range 4 {
		id := fmt.Sprintf("i-%d", i)
		r := w.startReplica(id, "pisarz", 4, func(c net.Conn, q *http.Request, _ []byte) {
			attempt, first := q.Header.Get("Attempt-Id"), 1
			if *trouble && q.Header.Get("Token-Usage") != "" {
				first = unreadEvents + 1
			} else {
				beginStream(c, attempt)
			}
			if err := writeEvents(c, attempt, first, events, interval); err != nil {
				w.logf("%s cannot go on with %s: %v", id, attempt, err)
				return
			}
			endStream(c)
		})
		if *trouble {
			r.early = func(c net.Conn, q *http.Request) {
				attempt := q.Header.Get("Attempt-Id")
				w.logf("%s begins to answer %s, whose body it has not read", id, attempt)
				beginStream(c, attempt)
				if err := writeEvents(c, attempt, 1, unreadEvents, interval); err != nil {
					w.logf("%s cannot go on with %s: %v", id, attempt, err)
				}
			}
		}
	}
	w.startReplica("i-9", "sklep", 6, plainAnswer)
	g := w.startGateways(1)[0]
	w.settle()
	var broken atomic.Int64
	var wg sync.WaitGroup
	const requesters = 8
	for i := range requesters {
		wg.Go(func() {
			id := fmt.Sprintf("a%015d", i)
			c, err := open(g.front, 30*time.Second)
			must(err)
			defer func() { _ = c.Close() }()
			// The channel is kept from an ordinary request.
			a, err := c.do(request("GET", "/status/1", "b"+id[1:], "key-kept", "", time.Second))
			must(err)
			if a.status != http.StatusOK {
				must(fmt.Errorf("ordinary request got status %d", a.status))
			}
			start := time.Now()
			a, err = c.do(request("POST", "/month/1", id, "key-kept", strings.Repeat("m", bodyBytes), 6*time.Second, "Model: m", "Token-Usage: 2890,66", "Prefix-Hash: 5c1e07a2:60,"+id[8:]+":2830"))
			got := strings.Count(a.body, "\n\n")
			w.logf("%s: status %d, %d of %d events after %v, error %v", id, a.status, got, events, time.Since(start).Round(time.Millisecond), err)
			if err != nil {
				broken.Add(1)
			}
		})
	}
	wg.Wait()
	w.logf("%d of %d channels were closed without the answer", broken.Load(), requesters)
	return broken.Load() > tolerated
}
