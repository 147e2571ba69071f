package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of the application.
type replica struct {
	id, zone string
	address  string
	slots    int
	work     time.Duration
	store    *store
	record   *recorder
	born     int64
	// arrivals is called for each request that is run.
	arrivals func(r *replica, at time.Time, id string)
	// cut counts the requests that were cut off in progress.
	cut atomic.Int64

	mu       sync.Mutex
	state    string
	sequence int
	server   *http.Server
	slot     chan struct{}
	stopBeat chan struct{}
}

// entry is what the replica writes to the store.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": "dossier-app", "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		wire.Cold: 0, "sequence": 1, "born": r.born,
	}
}

// start serves and registers.
func (r *replica) start(ip string) error {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return err
	}
	r.address, r.state, r.born = l.Addr().String(), "ready", time.Now().UnixMilli()
	r.slot, r.stopBeat = make(chan struct{}, r.slots), make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	background.Go(func() { _ = r.server.Serve(l) })
	r.store.put("servers/"+r.id, r.entry())
	return nil
}

// stop ends the replica: connections with a request are closed too.
func (r *replica) stop() { _ = r.server.Close() }

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire.ID)
	if q.Header.Get(wire.Replica) != r.id {
		w.Header().Set(wire.ID, id)
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.record.printf("%s reaches replica %s", id, r.id)
	r.arrivals(r, time.Now(), id)
	select {
	case r.slot <- struct{}{}:
	case <-q.Context().Done():
		r.cutOff(id)
		return
	}
	defer func() { <-r.slot }()
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.cutOff(id)
		return
	}
	w.Header().Set(wire.ID, id)
	w.Header().Set(wire.Signature, fmt.Sprintf("%s.%s", r.id, id))
	w.Header().Set(wire.Load, fmt.Sprintf("%d,0,%d", len(r.slot), r.slots))
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = w.Write([]byte("done " + id))
}

// cutOff records that the channel of a request was closed before its answer.
func (r *replica) cutOff(id string) {
	r.cut.Add(1)
	r.record.printf("%s is cut off in progress at %s", id, r.id)
}

// leave reports that the replica drains and returns when that is acknowledged.
func (r *replica) leave() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	r.store.put("servers/"+r.id, r.entry())
}

const (
	heartbeat       = 1200 * time.Millisecond
	drainTime       = 2 * time.Second // drain_ms
	stabilityWindow = 3 * time.Second // stability_window_ms
)

// rounds is how often the drill is held at most; the case ends with the first that breaks the
// rule.
const rounds = 3

// drill is one round: a replica leaves, and the store comes back from a copy that lacks its
// report. The replica writes it again with its next heartbeat.
type drill struct {
	*play
	store *store
	// leaving is the ID of the replica that leaves, boundNanos the Unix time from which on no
	// request may reach it; zero before that is known.
	leaving    atomic.Pointer[string]
	boundNanos atomic.Int64
	late       atomic.Int64
	// outOfTouch is the name of a gateway whose requests don't count, empty for none.
	outOfTouch string
}

// arrival counts the requests that reach the leaving replica too late.
func (d *drill) arrival(r *replica, at time.Time, id string) {
	leaving, bound := d.leaving.Load(), d.boundNanos.Load()
	if name, _ := d.sentTo.Load(id); name == d.outOfTouch {
		return
	}
	if leaving != nil && *leaving == r.id && bound != 0 && at.UnixNano() > bound {
		d.late.Add(1)
		d.record.printf("LATE: %s reaches %s, %.0f ms after the bound", id, r.id, float64(at.UnixNano()-bound)/1e6)
	}
}

// newReplica starts a replica in a zone.
func (d *drill) newReplica(n int, zone, ip string) (*replica, error) {
	r := &replica{id: fmt.Sprintf("i-%08x", n), zone: zone, slots: 6, work: 60 * time.Millisecond, store: d.store, record: d.record, arrivals: d.arrival}
	return r, r.start(ip)
}

// hold holds the drill with replica x, which exits in the end.
func (d *drill) hold(x *replica) error {
	copied := d.store.copy()
	d.record.printf("the copy is made, revision %d", copied.revision)
	time.Sleep(2 * time.Second)
	d.boundNanos.Store(0)
	d.leaving.Store(&x.id)
	x.leave()
	first := time.Now()
	d.record.printf("replica %s reports draining, acknowledged at revision %d", x.id, d.store.copy().revision)
	bound := first.Add(drainTime)
	if d.trouble {
		time.Sleep(500 * time.Millisecond)
		d.store.stop()
		d.record.printf("the store goes away")
		time.Sleep(time.Second)
		d.store.restore(copied)
		if err := d.store.start(); err != nil {
			return err
		}
		back := time.Now()
		d.record.printf("the store is back from the copy, revision %d", copied.revision)
		// The replica's heartbeats come every 1.2 s since its report.
		next := first.Add(heartbeat)
		for next.Before(back) {
			next = next.Add(heartbeat)
		}
		time.Sleep(time.Until(next))
		x.leave()
		d.record.printf("replica %s reports draining again, acknowledged at revision %d", x.id, d.store.copy().revision)
		bound = time.Now().Add(drainTime)
		if calm := back.Add(stabilityWindow); calm.After(bound) {
			bound = calm
		}
	}
	bound = bound.Add(200 * time.Millisecond)
	d.boundNanos.Store(bound.UnixNano())
	d.record.printf("from %.4f on no request may reach %s", bound.Sub(d.record.start).Seconds(), x.id)
	time.Sleep(time.Until(bound) + 6*time.Second)
	x.stop()
	d.record.printf("replica %s exits", x.id)
	d.store.remove("servers/" + x.id)
	return nil
}

// restoredStore holds the drill until the rule breaks, rounds times at most.
func restoredStore(p *play) (res outcome, err error) {
	d := &drill{play: p, store: newStore("127.0.0.1:0")}
	if err := d.store.start(); err != nil {
		return res, err
	}
	defer func() { d.store.stop() }()
	zones := []string{"gent-a", "gent-b", "brussel-c"}
	replicas := make([]*replica, len(zones))
	for i, zone := range zones {
		if replicas[i], err = d.newReplica(i, zone, fmt.Sprintf("127.0.45.%d", i+1)); err != nil {
			return res, err
		}
	}
	defer func() {
		for _, r := range replicas {
			r.stop()
		}
	}()
	d.store.put(wire.Configuration, configuration)
	p.fleet("gent-a", "gent-a", "gent-b", "gent-b", "brussel-c")
	if err := p.startFleet(d.store.address); err != nil {
		return res, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sent, answered, lost atomic.Int64
	requesters := p.traffic(ctx, 150, &sent, &answered, &lost)
	var cut int64
	held := 0
	for held < rounds && d.late.Load() == 0 {
		time.Sleep(4 * time.Second)
		n := held % 2 // the zones with two gateways, in turn
		x := replicas[n]
		if err := d.hold(x); err != nil {
			return res, err
		}
		held++
		time.Sleep(time.Second)
		cut += x.cut.Load()
		if replicas[n], err = d.newReplica(len(zones)+held, zones[n], fmt.Sprintf("127.0.45.%d", len(zones)+held)); err != nil {
			return res, err
		}
	}
	stop()
	requesters.Wait()
	res.broken = d.late.Load() > 0
	res.verdict = fmt.Sprintf("%d rounds; requests: %d sent, %d answered with success, %d without; %d reached a leaving replica after the bound; %d were in progress there when it exited and are lost",
		held, sent.Load(), answered.Load(), lost.Load(), d.late.Load(), cut)
	return res, nil
}

// traffic sends requests at a rate, to all gateways in turn, until ctx ends.
func (p *play) traffic(ctx context.Context, perSecond int, sent, answered, lost *atomic.Int64) *sync.WaitGroup {
	var all sync.WaitGroup
	channels := make([]*channel, len(p.gateways))
	for i, g := range p.gateways {
		channels[i] = newChannel(g, "")
	}
	all.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			c, g := channels[n%len(channels)], p.gateways[n%len(channels)]
			all.Go(func() {
				id := fmt.Sprintf("%016x", lastID.Add(1))
				sent.Add(1)
				p.sentTo.Store(id, g.name)
				p.record.printf("%s sent to %s", id, g.name)
				limit, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				defer cancel()
				a := c.ask(limit, http.MethodPost, "jury.example", "/verdict/"+id, id, map[string]string{wire.Deadline: "1000", wire.Key: "key-of-t1"}, nil)
				p.record.printf("%s answered: status %d, error %v", id, a.status, a.err)
				if a.err == nil && a.status == http.StatusOK && a.signed {
					answered.Add(1)
				} else {
					lost.Add(1)
				}
			})
		}
	})
	return &all
}
