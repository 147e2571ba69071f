package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowClients is the number of slow clients, slowAddresses that of their addresses.
	slowClients   = 1800
	slowAddresses = 4
	// pieceInterval is the time between two pieces of a slow body, pieceBytes their size.
	pieceInterval = 300 * time.Millisecond
	pieceBytes    = 64
	slowBodyBytes = 17_000
	// ordinaryClients try all the time, each on a new channel.
	ordinaryClients  = 8
	ordinaryInterval = 250 * time.Millisecond
	crowdTime        = 20 * time.Second
)

// slowBodies lets many clients send bodies of legal size piece by piece.
func slowBodies(p *play) (res outcome, err error) {
	s := newStore("127.0.0.1:0")
	if err := s.start(); err != nil {
		return res, err
	}
	defer s.stop()
	for i, zone := range []string{"gent-a", "gent-b", "brussel-c"} {
		r := &replica{id: fmt.Sprintf("i-%08x", i), zone: zone, slots: 6, work: 30 * time.Millisecond, store: s, record: p.record, arrivals: func(*replica, time.Time, string) {}}
		if err := r.start(fmt.Sprintf("127.0.45.%d", i+1)); err != nil {
			return res, err
		}
		defer r.stop()
	}
	s.put("op/config", simpleConfig(3))
	p.fleet("gent-a", "gent-b", "brussel-c")
	if err := p.startFleet(s.address); err != nil {
		return res, err
	}
	g := p.gateways[0]
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	var open atomic.Int64
	if p.trouble {
		for n := range slowClients {
			all.Add(1)
			go func() {
				defer all.Done()
				local := fmt.Sprintf("127.0.46.%d", 1+n%slowAddresses)
				time.Sleep(time.Duration(n) * 2 * time.Second / slowClients)
				for ctx.Err() == nil {
					slowBody(ctx, g, local, &open)
					_ = sleep(ctx, 100*time.Millisecond)
				}
			}()
		}
		time.Sleep(3 * time.Second)
	}
	p.record.printf("%d slow clients are sending", open.Load())
	var mu sync.Mutex
	var tried, answered, reset int
	last, longest := time.Now(), time.Duration(0)
	end := time.Now().Add(crowdTime)
	for n := range ordinaryClients {
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", lastID.Add(1))
				c := newChannel(g, fmt.Sprintf("127.0.47.%d", n+1))
				limit, cancel := context.WithTimeout(ctx, 2*time.Second)
				a := c.ask(limit, http.MethodPost, "jury.example", "/verdict/"+id, id, map[string]string{"Deadline-Ms": "1000", "X-Api-Key": "key-of-t1"}, nil)
				cancel()
				c.client.CloseIdleConnections()
				mu.Lock()
				tried++
				if a.err == nil {
					answered++
					longest = max(longest, time.Since(last))
					last = time.Now()
				} else {
					reset++
				}
				mu.Unlock()
				p.record.printf("%s of an ordinary client on a new channel: status %d, error %v; %d slow clients are sending", id, a.status, a.err, open.Load())
				_ = sleep(ctx, ordinaryInterval)
			}
		}()
	}
	time.Sleep(time.Until(end))
	ready := g.awaitReady(2*time.Second) == nil
	mu.Lock()
	longest = max(longest, time.Since(last))
	mu.Unlock()
	stop()
	all.Wait()
	if tried == 0 {
		return res, errors.New("no ordinary client tried")
	}
	res.broken = ready && longest > stabilityWindow
	res.verdict = fmt.Sprintf("ordinary clients: %d requests on new channels, %d answered, %d channels closed without an answer; longest time without an answer %.1f s; ready: %v", tried, answered, reset, longest.Seconds(), ready)
	return res, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// slowBody sends one request whose body comes piece by piece, until it is answered or its
// channel is closed.
func slowBody(ctx context.Context, g *gateway, local string, open *atomic.Int64) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(local)}}
	c, err := d.DialContext(ctx, "tcp4", g.address())
	if err != nil {
		return
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", lastID.Add(1))
	if _, err := fmt.Fprintf(c, "POST /notes/%s HTTP/1.1\r\nHost: jury.example\r\nAttempt-Id: %s\r\nX-Api-Key: key-of-t2\r\nDeadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n", id, id, slowBodyBytes); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = io.ReadFull(c, make([]byte, 1))
	}()
	open.Add(1)
	defer open.Add(-1)
	piece := make([]byte, pieceBytes)
	for sent := 0; sent+pieceBytes < slowBodyBytes; sent += pieceBytes {
		if _, err := c.Write(piece); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-ctx.Done():
			return
		case <-time.After(pieceInterval):
		}
	}
}
