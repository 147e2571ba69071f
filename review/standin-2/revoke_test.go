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

// revokeAfter is the bound revoke_ms of the settings.
const revokeAfter = 5 * time.Second

func init() { cases["revoke"] = revokeCase }

// noteAnswer answers a request of the kind note-tidy with 57 events.
func noteAnswer(c net.Conn, r *http.Request, _ []byte) {
	id := r.Header.Get("Attempt-Id")
	beginStream(c, id)
	if writeEvents(c, id, 1, 57, 45*time.Millisecond) == nil {
		endStream(c)
	}
}

// noteRequest returns a request of the kind note-tidy, and the length of its head.
func noteRequest(id, key string) (text string, head int) {
	text = request("POST", "/note/1", id, key, strings.Repeat("n", 8000), 15*time.Second, "Model: m", "Token-Usage: 1110,171", "Prefix-Hash: 5c1e07a2:60,"+id[8:]+":1050")
	return text, strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
}

// revokeCase takes a key away while requesters that hold it send their requests: they have sent
// the head and a byte of the body, and send the rest when the bound has passed. It checks that
// no request with the key runs whose last byte was sent after the bound.
func revokeCase(w *world) bool {
	w.store.put("op/config", config(1, readers("key-kept", "key-taken")))
	var replicas []*replica
	for i := range 4 {
		replicas = append(replicas, w.startReplica(fmt.Sprintf("i-%d", i), "pisarz", 4, noteAnswer))
	}
	g := w.startGateways(1)[0]
	w.settle()
	acknowledged := make(chan time.Time, 1)
	var ran, control atomic.Int64
	var wg sync.WaitGroup
	const requesters = 6
	for i := range requesters {
		wg.Go(func() {
			id := fmt.Sprintf("a%015d", i)
			c, err := open(g.front, 30*time.Second)
			must(err)
			defer func() { _ = c.Close() }()
			text, head := noteRequest(id, "key-taken")
			must(c.send(text[:head+1]))
			at := <-acknowledged
			acknowledged <- at
			time.Sleep(time.Until(at.Add(revokeAfter + 500*time.Millisecond)))
			sent := time.Now()
			err = c.send(text[head+1:])
			w.logf("%s: the rest of the body is sent %v after the acknowledgement, error %v", id, sent.Sub(at).Round(time.Millisecond), err)
			a, err := c.receive("POST")
			w.logf("%s: status %d, %d bytes, error %v", id, a.status, len(a.body), err)
			for _, r := range replicas {
				for _, x := range r.ran(id) {
					w.logf("%s ran at %s %v after the acknowledgement, tenant %q", id, r.id, x.at.Sub(at).Round(time.Millisecond), x.tenant)
					if sent.Sub(at) > revokeAfter {
						ran.Add(1)
					}
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	next := config(2, readers("key-kept", "key-taken"))
	if *trouble {
		next = config(2, readers("key-kept"))
	}
	at := w.store.put("op/config", next)
	acknowledged <- at
	time.Sleep(time.Second)
	// The gateway has the new version: a new request with the key is refused.
	c, err := open(g.front, 10*time.Second)
	must(err)
	text, _ := noteRequest("b000000000000000", "key-taken")
	a, err := c.do(text)
	w.logf("new request with the key 1 s after the acknowledgement: status %d, error %v", a.status, err)
	if a.status == http.StatusOK {
		control.Add(1)
	}
	_ = c.Close()
	wg.Wait()
	w.logf("%d of %d requests ran with the key; a new request with it was served: %v", ran.Load(), requesters, control.Load() == 1)
	if !*trouble {
		if ran.Load() != requesters || control.Load() != 1 {
			must(fmt.Errorf("only %d of %d requests ran without the disruption", ran.Load(), requesters))
		}
		return false
	}
	return ran.Load() > 0
}
