package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// key is the key of the only tenant.
const key = "n2ctnfzs989anu6wsjnb"

// answer is what a requester got for one attempt.
type answer struct {
	id     string
	status int
	signed bool
	body   []byte
	// err is set if the channel ended without a complete answer.
	err        error
	sent, done time.Time
}

// client is a requester with kept channels to one gateway.
type client struct {
	world *world
	http  *http.Client
	base  string
}

func newClient(w *world, g *gateway) *client {
	return &client{world: w, base: "http://" + g.callers, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 12 * time.Second,
	}}}
}

// newClientFrom returns a requester that connects from an address.
func newClientFrom(w *world, g *gateway, from string) *client {
	res := newClient(w, g)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	res.http.Transport.(*http.Transport).DialContext = dialer.DialContext
	return res
}

var (
	idMu   sync.Mutex
	lastID int
)

func nextID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", 0x5eed000000000000+lastID)
}

// send sends one attempt, once, and waits for its answer.
func (c *client) send(method, path string, limit time.Duration, header map[string]string, body []byte) answer {
	a := answer{id: nextID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	c.world.must(err)
	r.GetBody = nil // The transport must not repeat it.
	r.Host = host
	r.Header.Set(wire["id"], a.id)
	r.Header.Set(wire["deadline"], strconv.FormatInt(limit.Milliseconds(), 10))
	r.Header.Set(wire["key"], key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	res, err := c.http.Do(r)
	if err == nil {
		a.status, a.signed = res.StatusCode, res.Header.Get(wire["signature"]) != ""
		a.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.err, a.done = err, time.Now()
	what := fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
	if err != nil {
		what = fmt.Sprintf("%s and then: %v", what, err)
	} else if a.status >= 300 {
		what += ": " + strings.TrimSpace(string(a.body))
	}
	c.world.note("requester sent %s %s %s at %s and got after %d ms: %s", a.id, method, path, c.world.at(a.sent), a.done.Sub(a.sent).Milliseconds(), what)
	return a
}
