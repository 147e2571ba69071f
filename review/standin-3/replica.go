package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	id, replica string
	began       time.Time
	// ended is when its work was done, zero if it was dropped or cut off.
	ended time.Time
	// kept is true if the request came on a channel that had carried one before.
	kept bool
}

// replica is a replica of a service. It keeps to the pages: it echoes the id, rejects what is
// meant for another, and drops work whose channel has closed.
type replica struct {
	world         *world
	id, addr      string
	service, zone string
	slots         int
	// work is how long a request takes.
	work time.Duration
	// answer writes the answer after the work. It reports whether the channel is kept.
	answer func(c net.Conn, r *http.Request, id string) (keep bool)

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  int
	closed   bool
	idle     *sync.Cond
}

func newReplica(w *world, n int, service, zone string, slots int, work time.Duration) *replica {
	l := w.listen(w.ip(100 + n))
	x := &replica{world: w, id: fmt.Sprintf("i-%04x", 0xa100+n), addr: l.Addr().String(), service: service, zone: zone, slots: slots, work: work, listener: l, conns: map[net.Conn]bool{}}
	x.idle = sync.NewCond(&x.mu)
	x.answer = x.plainAnswer
	w.tasks.Go(x.accept)
	return x
}

// register writes the entry of the replica to the store.
func (x *replica) register(s *store, state string) time.Time {
	entry, err := json.Marshal(map[string]any{
		"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": x.slots, "state": state,
		"cold" + "_remaining_ms": 0, "sequence": 0, "born": x.world.start.UnixMilli(),
	})
	x.world.must(err)
	return s.put(wire["servers"]+x.id, entry)
}

func (x *replica) accept() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		x.mu.Lock()
		x.conns[c] = true
		x.mu.Unlock()
		x.world.tasks.Go(func() { x.serve(c) })
	}
}

func (x *replica) serve(c net.Conn) {
	defer func() {
		x.mu.Lock()
		delete(x.conns, c)
		x.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for kept := false; ; kept = true {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(wire["id"])
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", x.id)
			continue
		}
		if want := r.Header.Get(wire["expected"]); want != "" && want != x.id {
			x.world.note("replica %s rejects %s, which is meant for %s", x.id, id, want)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", wire["id"], id, wire["not_run"])
			continue
		}
		n := x.world.began(run{id: id, replica: x.id, began: time.Now(), kept: kept})
		x.world.note("replica %s begins to work on %s (%s %s, %d bytes)", x.id, id, r.Method, r.RequestURI, len(body))
		x.mu.Lock()
		x.running++
		x.mu.Unlock()
		keep := x.finish(c, r, id, n)
		x.mu.Lock()
		x.running--
		x.idle.Broadcast()
		x.mu.Unlock()
		if !keep {
			return
		}
	}
}

// finish works and answers, unless the channel closes meanwhile.
func (x *replica) finish(c net.Conn, r *http.Request, id string, n int) (keep bool) {
	for end := time.Now().Add(x.work); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if gone(c) {
			x.world.note("replica %s drops %s, whose channel has closed", x.id, id)
			return false
		}
	}
	keep = x.answer(c, r, id)
	x.world.ended(n)
	return keep
}

// gone reports whether the other end of a channel has closed it, or this process has.
func gone(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
		return true
	})
	return closed || err != nil
}

// head returns the head of an answer of the replica.
func (x *replica) head(id, contentType string, more ...string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig.%s\r\n%s: 0,0,%d\r\nContent-Type: %s\r\n", wire["id"], id, wire["signature"], id, wire["load"], x.slots, contentType)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// plainAnswer answers with 800 bytes on a channel that is kept.
func (x *replica) plainAnswer(c net.Conn, _ *http.Request, id string) bool {
	body := strings.Repeat(x.id[:1], 800)
	_, err := io.WriteString(c, x.head(id, "text/plain", "Content-Length: "+strconv.Itoa(len(body)))+body)
	return err == nil
}

// stop closes the port. The channels stay.
func (x *replica) stop() { _ = x.listener.Close() }

// exit ends the replica as the end of its process would.
func (x *replica) exit() {
	x.stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.conns {
		_ = c.Close()
	}
}
