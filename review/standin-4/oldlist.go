package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

const (
	// readStaleness is how old the reads of the store are that may be old.
	readStaleness = 4 * time.Second
	// killRounds is how often a coordinator is killed at most; the case ends with the first
	// round that breaks the rule.
	killRounds = 8
)

// oldList kills the coordinator of a failure domain after a replica there has left. The process
// starts again and reads a list from before that.
func oldList(p *play) (res outcome, err error) {
	d := &drill{play: p, store: newStore("127.0.0.1:0")}
	d.store.staleness = readStaleness
	if err := d.store.start(); err != nil {
		return res, err
	}
	defer func() { d.store.stop() }()
	zones := []string{"gent-a", "gent-b", "brussel-c"}
	var replicas []*replica
	defer func() {
		for _, r := range replicas {
			r.stop()
		}
	}()
	for n := range 6 {
		r, err := d.newReplica(n, zones[n%len(zones)], fmt.Sprintf("127.0.45.%d", n+1))
		if err != nil {
			return res, err
		}
		replicas = append(replicas, r)
	}
	d.store.put(wire.Configuration, configuration)
	p.fleet("gent-a", "gent-b", "brussel-c", "gent-a", "gent-a", "gent-b", "gent-b", "brussel-c")
	coordinator := p.gateways[0]
	d.outOfTouch = coordinator.name
	time.Sleep(readStaleness + time.Second)
	if err := p.startFleet(d.store.address); err != nil {
		return res, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var sent, answered, lost atomic.Int64
	requesters := p.traffic(ctx, 400, &sent, &answered, &lost)
	rounds := 0
	for rounds < killRounds && d.late.Load() == 0 {
		time.Sleep(readStaleness + 500*time.Millisecond)
		x := replicas[0]
		d.boundNanos.Store(0)
		d.leaving.Store(&x.id)
		x.leave()
		bound := time.Now().Add(drainTime + 200*time.Millisecond)
		d.boundNanos.Store(bound.UnixNano())
		p.record.printf("replica %s reports draining, acknowledged; from %.4f on no request may reach it", x.id, bound.Sub(p.record.start).Seconds())
		time.Sleep(drainTime + 500*time.Millisecond)
		if p.trouble {
			coordinator.kill()
			p.record.printf("%s is killed", coordinator.name)
			time.Sleep(100 * time.Millisecond)
			if err := coordinator.start(p.root, p.temp); err != nil {
				return res, err
			}
		}
		time.Sleep(2 * time.Second)
		x.stop()
		d.store.remove("servers/" + x.id)
		rounds++
		if replicas[0], err = d.newReplica(len(replicas)+rounds, x.zone, fmt.Sprintf("127.0.45.%d", len(replicas)+rounds)); err != nil {
			return res, err
		}
	}
	stop()
	requesters.Wait()
	res.broken = d.late.Load() > 0
	res.verdict = fmt.Sprintf("%d rounds; requests: %d sent, %d answered with success, %d without; %d reached a leaving replica after the bound", rounds, sent.Load(), answered.Load(), lost.Load(), d.late.Load())
	return res, nil
}
