package exchange

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// plan says how often a peer gets reports.
type plan struct {
	// interval is the longest time between two reports.
	interval time.Duration
	// urgent says that the peer is told of each slot that is taken or released.
	urgent bool
	// full says that reports to it carry the loads of this entry.
	full bool
}

// plan returns the plan for a peer. In a small fleet all entries tell each other
// everything. In a large one only coordinators do; every other entry talks to the
// coordinators of its failure domain, and seldom to all others, which need its
// membership and its usage of quotas. It is called with mu held.
func (x *Exchange) plan(p *peer) plan {
	e := x.Election()
	self, other, sameDomain := e.IsCoordinator(x.self.Name), e.IsCoordinator(p.Name), p.domain == x.self.Domain
	switch {
	case p.silent:
		return plan{interval: silentPeerInterval, full: true}
	case e.IsEqual(), self && other:
		return plan{interval: maxReportInterval, urgent: true, full: true}
	case other && sameDomain, self && e.IsStandby(p.Name):
		return plan{interval: maxReportInterval, full: true}
	case self && sameDomain:
		return plan{interval: maxReportInterval}
	}
	rare := max(maxReportInterval, time.Duration(len(x.peers))*time.Second/memberReportsPerSecond)
	return plan{interval: rare, full: other}
}

// runSender sends reports after changes, within the rate limit.
func (x *Exchange) runSender(ctx context.Context) {
	credit, lastRefill := float64(datagramBurst), x.clock.Now()
	for {
		select {
		case <-x.reportDue:
		case <-ctx.Done():
			return
		}
		rate := float64(datagramsPerSecond)
		if e := x.Election(); !e.IsEqual() && e.IsCoordinator(x.self.Name) {
			rate = coordinatorDatagramsPerSecond
		}
		now := x.clock.Now()
		credit = min(datagramBurst, credit+now.Sub(lastRefill).Seconds()*rate)
		lastRefill = now
		credit -= float64(x.sendReports(now, &changeIntervals{otherDomain: otherDomainWait(credit)}))
		wait := max(minReportInterval, time.Duration(-credit/rate*float64(time.Second)))
		if x.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// changeIntervals are the least times between two reports of changes to a peer, by
// whether the peer is in the same failure domain.
type changeIntervals struct{ sameDomain, otherDomain time.Duration }

// otherDomainWait returns the time between two reports of changes to peers in other
// failure domains while the given number of datagrams may be sent at once.
func otherDomainWait(credit float64) time.Duration {
	if credit > datagramBurst/2 {
		return 0
	}
	return otherDomainInterval
}

// Announce reports to all peers at once.
func (x *Exchange) Announce() {
	x.mu.Lock()
	for _, p := range x.peers {
		p.lastSent = time.Time{}
	}
	x.mu.Unlock()
	x.sendReports(x.clock.Now(), nil)
}

// target is a peer to which a report is due.
type target struct {
	address       netip.AddrPort
	full, summary bool
	// listsPeers says that the summary lists peers.
	listsPeers bool
}

// body returns the kind of report that the target gets.
func (t target) body() bodyKind {
	return bodyKind{full: t.full, summary: t.summary, listsPeers: t.listsPeers}
}

// bodyKind says which parts a report has.
type bodyKind struct{ full, summary, listsPeers bool }

// sendReports sends the state to the peers whose last report is old enough, and
// returns their number. changes has the intervals of reports about changes; with nil
// reports are sent only to peers that got none for the interval of their plan.
func (x *Exchange) sendReports(now time.Time, changes *changeIntervals) int {
	targets := x.duePeers(now, changes)
	if len(targets) == 0 {
		return 0
	}
	x.changePending.Store(false)
	s := x.handler.State()
	x.setEligible(s.eligible())
	x.mu.Lock()
	x.reportNumber++
	number := x.reportNumber
	x.mu.Unlock()
	bodies := map[bodyKind][]byte{}
	for _, t := range targets {
		body, found := bodies[t.body()]
		if !found {
			var err error
			if body, err = x.encode(s, number, t.body()); err != nil {
				x.log.Error("report cannot be encoded", "error", err)
				return 0
			}
			bodies[t.body()] = body
		}
		trailer, err := x.encodeConfirmation(t.address)
		if err != nil {
			x.log.Error("report cannot be encoded", "error", err)
			return 0
		}
		x.write(slices.Concat(body, trailer), t.address)
	}
	return len(targets)
}

// setEligible records whether this entry can be a coordinator.
func (x *Exchange) setEligible(eligible bool) {
	x.mu.Lock()
	changed := x.eligible != eligible
	if changed {
		x.eligible = eligible
		x.elect()
	}
	x.mu.Unlock()
	if changed {
		x.handler.PeersChanged()
	}
}

func (x *Exchange) write(datagram []byte, to netip.AddrPort) {
	if _, err := x.conn.WriteToUDPAddrPort(datagram, to); err != nil && !errors.Is(err, net.ErrClosed) {
		x.log.Debug("datagram not sent", "peer", to.String(), "error", err)
	}
}

// duePeers returns the peers to report to and sets their time of the last report.
func (x *Exchange) duePeers(now time.Time, changes *changeIntervals) []target {
	x.mu.Lock()
	defer x.mu.Unlock()
	var res []target
	for a, p := range x.peers {
		plan := x.plan(p)
		wait := plan.interval
		if changes != nil && plan.urgent {
			wait = changes.otherDomain
			if p.domain == x.self.Domain {
				wait = changes.sameDomain
			}
		}
		if now.Sub(p.lastSent) < wait {
			continue
		}
		p.lastSent = now
		t := target{address: a, full: plan.full, summary: now.Sub(p.lastSummary) >= summaryInterval}
		if t.summary {
			t.listsPeers = p.summaries%summariesPerPeerList == 0
			p.lastSummary = now
			p.summaries++
		}
		res = append(res, t)
	}
	return res
}
