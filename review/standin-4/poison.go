package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// downTime is how long a replica is down after a crash.
	downTime = 4500 * time.Millisecond
	// entryTimeout is the silence after which the store drops an entry: three heartbeats.
	entryTimeout = 3 * heartbeat
	// poisonPatience is how long the caller of the bad request waits, poisonPause the pause
	// before it comes again.
	poisonPatience = 3 * time.Second
	poisonPause    = time.Second
	poisonTime     = 60 * time.Second
	// allowedRetries is the bound of the rule.
	allowedRetries = 3
)

// fragile is a replica that a bad request crashes.
type fragile struct {
	*replica
	world *poisonWorld
	ip    string
	port  int
	boots int
	// down is closed when the replica is back, nil while it is up.
	down chan struct{}
}

// poisonWorld counts what the bad request does.
type poisonWorld struct {
	*play
	mu      sync.Mutex
	crashes []time.Time
	late    int // arrivals later than the window after the third crash
	lost    int // other requests that were in progress at a crash
}

// boot starts the replica, with a new ID.
func (f *fragile) boot() error {
	f.boots++
	f.replica.id = fmt.Sprintf("i-%s%02x", strings.ReplaceAll(f.ip, ".", ""), f.boots)
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", f.ip, f.port))
	if err != nil {
		return err
	}
	f.port = l.Addr().(*net.TCPAddr).Port
	f.address, f.state, f.born = l.Addr().String(), "ready", time.Now().UnixMilli()
	f.slot = make(chan struct{}, f.slots)
	f.server = &http.Server{Handler: http.HandlerFunc(f.serveFragile)}
	server := f.server
	background.Go(func() { _ = server.Serve(l) })
	f.store.put("servers/"+f.id, f.entry())
	return nil
}

func (f *fragile) serveFragile(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire.ID)
	f.world.mu.Lock()
	down := f.down
	f.world.mu.Unlock()
	if down == nil && strings.HasSuffix(q.URL.Path, "/bad") && q.Header.Get(wire.Replica) == f.id {
		down = f.crash(id)
	}
	if down != nil {
		// Nobody answers. The channel is reset when the machine is back.
		<-down
		panic(http.ErrAbortHandler)
	}
	f.serve(w, q)
}

// crash crashes the replica under the bad request.
func (f *fragile) crash(id string) chan struct{} {
	x, now := f.world, time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if f.down != nil {
		return f.down
	}
	f.down = make(chan struct{})
	if len(x.crashes) >= 3 && now.Sub(x.crashes[2]) > stabilityWindow {
		x.late++
	}
	x.crashes = append(x.crashes, now)
	x.lost += len(f.slot)
	x.record.printf("%s, the bad request, reaches replica %s and crashes it: crash %d, %d retries late, %d others in progress", id, f.id, len(x.crashes), x.late, len(f.slot))
	old, server, down := f.id, f.server, f.down
	if !x.trouble {
		background.Go(func() { _ = server.Close() })
	}
	time.AfterFunc(entryTimeout, func() { f.store.remove("servers/" + old) })
	time.AfterFunc(downTime, func() {
		_ = server.Close()
		x.mu.Lock()
		close(down)
		f.down = nil
		x.mu.Unlock()
		if err := f.boot(); err != nil {
			x.record.printf("replica %s does not start: %v", f.id, err)
			return
		}
		x.record.printf("replica %s is back as %s", old, f.id)
	})
	return down
}

// badRequest lets a request come again that crashes each replica that begins to run it.
func badRequest(p *play) (res outcome, err error) {
	s := newStore("127.0.0.1:0")
	if err := s.start(); err != nil {
		return res, err
	}
	defer s.stop()
	x := &poisonWorld{play: p}
	for i := range 9 {
		f := &fragile{world: x, ip: fmt.Sprintf("127.0.45.%d", i+1)}
		f.replica = &replica{zone: []string{"gent-a", "gent-b", "brussel-c"}[i%3], slots: 4, work: 100 * time.Millisecond, store: s, record: p.record, arrivals: func(*replica, time.Time, string) {}}
		if err := f.boot(); err != nil {
			return res, err
		}
		defer func() { f.stop() }()
	}
	s.put(wire.Configuration, configuration)
	p.fleet("gent-a", "gent-a", "gent-b", "gent-b", "brussel-c")
	if err := p.startFleet(s.address); err != nil {
		return res, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sent, answered, lost atomic.Int64
	ordinary := p.traffic(ctx, 60, &sent, &answered, &lost)
	time.Sleep(stabilityWindow + time.Second)
	end := time.Now().Add(poisonTime)
	asked := 0
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", lastID.Add(1))
		c := newChannel(p.gateways[n%len(p.gateways)], "")
		limit, cancel := context.WithTimeout(context.Background(), poisonPatience+time.Second)
		a := c.ask(limit, http.MethodPost, "jury.example", "/notes/bad", id, map[string]string{
			wire.Deadline: fmt.Sprint(poisonPatience.Milliseconds()), wire.Key: "key-of-t1",
		}, strings.NewReader("the bad request"))
		cancel()
		c.client.CloseIdleConnections()
		asked++
		p.record.printf("%s, the bad request, answered by %s: status %d, error %v", id, p.gateways[n%len(p.gateways)].name, a.status, a.err)
		time.Sleep(poisonPause)
	}
	stop()
	ordinary.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.crashes) == 0 {
		return res, errors.New("the bad request reached no replica")
	}
	res.broken = x.late > allowedRetries
	res.verdict = fmt.Sprintf("the bad request came %d times and crashed %d replicas; %d retries reached replicas later than %s after the third crash (bound: %d); other requests: %d sent, %d without an answer of a replica, %d of them in progress at a crash",
		asked, len(x.crashes), x.late, stabilityWindow, allowedRetries, sent.Load(), lost.Load(), x.lost)
	return res, nil
}
