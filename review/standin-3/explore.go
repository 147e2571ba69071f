package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

type slowBody struct {
	data  []byte
	pause time.Duration
}

func (s *slowBody) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(p[:min(len(p), 1000)], s.data)
	s.data = s.data[n:]
	return n, nil
}

func explore(w *world) bool {
	s := newStore(w)
	s.put(wire["config"], []byte(configuration))
	var replicas []*replica
	for i := range 3 {
		x := newReplica(w, i, plainService, zones[i], 6, time.Duration(20+150*i)*time.Millisecond)
		x.register(s, "ready")
		replicas = append(replicas, x)
	}
	for i := range 3 {
		x := newReplica(w, 10+i, engineService, zones[i], 4, 50*time.Millisecond)
		x.answer = x.streamAnswer
		x.register(s, "ready")
	}
	gateways := w.startGateways(3, s)
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	var load sync.WaitGroup
	kinds := []string{"short", "slow", "big", "stream"}
	for i := range 24 {
		load.Go(func() {
			kind := kinds[i%4]
			for n := i; ; n++ {
				c := newClient(w, gateways[n%3])
				for range 6 {
					select {
					case <-stop:
						return
					default:
					}
					var a answer
					switch kind {
					case "short":
						a = c.send("POST", "/verdict/1", 2*time.Second, nil, []byte("{}"))
					case "slow":
						a = c.sendSlow("/verdict/2", 3*time.Second, &slowBody{data: bytes.Repeat([]byte("x"), 10000), pause: time.Duration(rand.IntN(200)) * time.Millisecond})
					case "big":
						a = c.send("POST", "/verdict/3", 2*time.Second, nil, bytes.Repeat([]byte("y"), 2<<20))
					case "stream":
						a = c.send("POST", fmt.Sprintf("/appeal/%d", 5+rand.IntN(60)), 12*time.Second, nil, []byte("{}"))
					}
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					if a.err != nil || a.status == 503 {
						time.Sleep(50 * time.Millisecond)
						break
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	for i := range 8 {
		time.Sleep(2 * time.Second)
		g := gateways[i%3]
		g.signal(syscall.SIGHUP)
		g.signal(syscall.SIGTERM)
		<-g.exited
		g.start()
		g.awaitReady()
	}
	close(stop)
	load.Wait()
	runs := map[string]int{}
	for _, r := range w.allRuns() {
		runs[r.id]++
	}
	bad := 0
	count := map[string]int{}
	for _, a := range answers {
		count[fmt.Sprintf("%d %v", a.status, a.err != nil)]++
		if runs[a.id] > 1 {
			w.note("TWICE %s", a.id)
			bad++
		}
		if a.err != nil && runs[a.id] > 0 {
			w.note("LOST? %s %v", a.id, a.err)
			bad++
		}
		if a.err == nil && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && runs[a.id] > 0 {
			w.note("REFUSED %s", a.id)
			bad++
		}
		if a.err == nil && a.status == 200 && (!a.signed || runs[a.id] != 1) {
			w.note("MIXED %s", a.id)
			bad++
		}
	}
	w.note("%v", count)
	return bad > 0
}

func (c *client) sendSlow(path string, limit time.Duration, body io.Reader) answer {
	a := answer{id: nextID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, "POST", c.base+path, body)
	c.world.must(err)
	r.Host = host
	r.Header.Set(wire["id"], a.id)
	r.Header.Set(wire["deadline"], strconv.FormatInt(limit.Milliseconds(), 10))
	r.Header.Set(wire["key"], key)
	res, err := c.http.Do(r)
	if err == nil {
		a.status, a.signed = res.StatusCode, res.Header.Get(wire["signature"]) != ""
		a.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	a.err, a.done = err, time.Now()
	c.world.note("slow requester sent %s at %s and got after %d ms: %d %v", a.id, c.world.at(a.sent), a.done.Sub(a.sent).Milliseconds(), a.status, err)
	return a
}

// chaos: 9 gateways, coordinators are killed, frozen, stopped; replicas come and go.
func chaos(w *world) bool {
	s := newStore(w)
	s.put(wire["config"], []byte(configuration))
	var mu sync.Mutex
	type leave struct {
		id string
		at time.Time
	}
	var leaves []leave
	n := 0
	add := func(service string, slots int) *replica {
		mu.Lock()
		n++
		x := newReplica(w, n, service, zones[n%3], slots, time.Duration(10+rand.IntN(60))*time.Millisecond)
		mu.Unlock()
		if service == engineService {
			x.answer = x.chunked
		}
		x.register(s, "ready")
		return x
	}
	var plain, engine []*replica
	for range 6 {
		plain = append(plain, add(plainService, 6))
		engine = append(engine, add(engineService, 4))
	}
	gateways := w.startGateways(9, s)
	stop := make(chan struct{})
	var answers []answer
	var load sync.WaitGroup
	var calm [9]time.Time // since when undisturbed
	for i := range 36 {
		load.Go(func() {
			c := newClient(w, gateways[i%9])
			for {
				select {
				case <-stop:
					return
				default:
				}
				var a answer
				switch i % 3 {
				case 0:
					a = c.send("POST", "/verdict/1", 1500*time.Millisecond, nil, []byte("{}"))
				case 1:
					a = c.send("GET", "/read/1", 1500*time.Millisecond, nil, nil)
				case 2:
					a = c.send("POST", fmt.Sprintf("/appeal/%d", 5+rand.IntN(40)), 6*time.Second, nil, []byte("{}"))
				}
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	var churn sync.WaitGroup
	churn.Go(func() {
		for i := range 16 {
			time.Sleep(3 * time.Second)
			list := &plain
			service, slots := plainService, 6
			if i%2 == 1 {
				list, service, slots = &engine, engineService, 4
			}
			x := (*list)[0]
			*list = append((*list)[1:], add(service, slots))
			var at time.Time
			if rand.IntN(2) == 0 {
				at = s.remove(wire["servers"] + x.id)
				w.note("removed %s", x.id)
			} else {
				at = x.register(s, "draining")
				w.note("draining %s", x.id)
			}
			mu.Lock()
			leaves = append(leaves, leave{x.id, at})
			mu.Unlock()
		}
	})
	for i := range 12 {
		time.Sleep(4 * time.Second)
		k := i % 9
		g := gateways[k]
		mu.Lock()
		calm[k] = time.Now().Add(time.Hour)
		mu.Unlock()
		switch i % 4 {
		case 0:
			g.kill()
			time.Sleep(300 * time.Millisecond)
			g.start()
		case 1:
			g.signal(syscall.SIGSTOP)
			time.Sleep(3500 * time.Millisecond)
			g.signal(syscall.SIGCONT)
		case 2:
			g.signal(syscall.SIGTERM)
			<-g.exited
			g.start()
		case 3:
			for _, x := range gateways[:3] {
				x.kill()
				x.start()
			}
		}
		mu.Lock()
		calm[k] = time.Now()
		mu.Unlock()
	}
	churn.Wait()
	close(stop)
	load.Wait()
	runs := map[string][]run{}
	bad := 0
	for _, r := range w.allRuns() {
		runs[r.id] = append(runs[r.id], r)
		for _, l := range leaves {
			if l.id == r.replica && r.began.After(l.at.Add(drainTime)) {
				w.note("DRAIN? %s at %s %.2f s after", r.id, r.replica, r.began.Sub(l.at).Seconds())
				bad++
			}
		}
	}
	count := map[string]int{}
	for i, a := range answers {
		_ = i
		count[fmt.Sprintf("%d %v", a.status, a.err != nil)]++
		if len(runs[a.id]) > 2 {
			w.note("MORE %s", a.id)
		}
		if a.err == nil && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && len(runs[a.id]) > 0 {
			w.note("REFUSED %s", a.id)
			bad++
		}
		if a.err == nil && a.status == 200 && (!a.signed || len(runs[a.id]) < 1) {
			w.note("MIXED %s", a.id)
			bad++
		}
		if a.err != nil && len(runs[a.id]) > 0 {
			w.note("CUT %s %v", a.id, a.err)
		}
	}
	w.note("%v", count)
	return bad > 0
}

func (x *replica) chunked(c net.Conn, r *http.Request, id string) bool {
	if _, err := io.WriteString(c, x.head(id, "text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return false
	}
	events := eventCount(r)
	for i := range events {
		event := fmt.Sprintf("id: %d\ndata: event %d of %d\n\n", i+1, i+1, events)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(15 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
