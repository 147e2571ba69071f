package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// asteriskAttempts is the number of requests that are sent.
const asteriskAttempts = 10

// serverWide sends requests that no route matches: `OPTIONS *`, which concerns the server as a
// whole. No replica runs them, so that none may be answered with a success. Without the trouble
// they name a path that no route matches.
func serverWide(w *world) bool {
	s := newStore(w)
	s.put(wire["config"], []byte(configuration))
	newReplica(w, 0, plainService, zones[0], 6, 30*time.Millisecond).register(s, "ready")
	newReplica(w, 1, engineService, zones[0], 4, 30*time.Millisecond).register(s, "ready")
	g := w.startGateways(1, s)[0]
	target := "*"
	if !w.trouble {
		target = "/never/1"
	}
	unsigned := 0
	for range asteriskAttempts {
		status, signature := w.options(g, target)
		if status/100 == 2 && signature == "" {
			unsigned++
		}
	}
	w.note("%d of %d requests got a success without a receipt; %d runs at replicas", unsigned, asteriskAttempts, len(w.allRuns()))
	if unsigned > 0 {
		w.note("MIXED broken")
	}
	return unsigned > 0
}

// options sends one request on a new channel and returns the status and the receipt.
func (w *world) options(g *gateway, target string) (status int, signature string) {
	c, err := net.DialTimeout("tcp4", g.callers, time.Second)
	w.must(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	id := nextID()
	_, err = fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1000\r\n\r\n", target, host, wire["id"], id, wire["deadline"])
	w.must(err)
	res, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodOptions})
	if err != nil {
		w.note("requester sent %s OPTIONS %s and got: %v", id, target, err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	signature = res.Header.Get(wire["signature"])
	w.note("requester sent %s OPTIONS %s without a key and got %d, receipt %q", id, target, res.StatusCode, signature)
	return res.StatusCode, signature
}
