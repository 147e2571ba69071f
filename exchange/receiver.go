package exchange

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"
)

// runReceiver reads reports until the connection is closed.
func (x *Exchange) runReceiver(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			x.log.Warn("report not read", "error", err)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if isArray(buffer[:n]) {
			x.receiveDatagram(from, buffer[:n])
			continue
		}
		m, c, err := decode(buffer[:n])
		if err != nil {
			x.log.Warn("report cannot be decoded", "peer", from.String(), "error", err)
			continue
		}
		x.handleReport(from, m, c)
	}
}

// isArray reports whether a datagram begins with a CBOR array. A report begins with a
// map.
func isArray(datagram []byte) bool {
	const majorTypeArray = 4
	return len(datagram) > 0 && datagram[0]>>5 == majorTypeArray
}

// receiveDatagram passes on a datagram of a peer that has sent a report before.
func (x *Exchange) receiveDatagram(from netip.AddrPort, datagram []byte) {
	x.mu.Lock()
	var sender Peer
	if p := x.peers[from]; p != nil {
		sender = p.Peer
	}
	x.mu.Unlock()
	if sender.Name != "" {
		x.handler.ReceiveDatagram(sender, datagram)
	}
}

// handleReport applies a report unless a newer one has arrived before it.
func (x *Exchange) handleReport(from netip.AddrPort, m message, c confirmation) {
	s := m.toState()
	x.mu.Lock()
	x.addPeer(from)
	p := x.peers[from]
	if p == nil || p.Boot == m.Boot && m.Number <= p.reportNumber {
		x.mu.Unlock()
		return
	}
	previous, wasSilent, wasMember := p.Peer, p.silent, p.member()
	p.Peer, p.reportNumber = Peer{Name: m.Name, Boot: m.Boot}, m.Number
	p.lastHeard, p.leaving, p.silent = x.clock.Now(), s.Leaving, false
	p.domain, p.timestampNanos = m.Domain, c.TimestampNanos
	p.millicores, p.eligible = min(max(0, m.Millicores), maxMillicores), s.eligible()
	x.addresses[m.Name] = from
	x.addListedPeers(m.Summary)
	current := p.Peer
	if wasSilent || previous != current {
		// A process that has just started learns of its peers at once.
		p.summaries, p.lastSummary, p.lastSent = 0, time.Time{}, time.Time{}
		defer x.Changed(true)
	}
	changed := p.member() != wasMember
	if changed {
		x.elect()
	}
	x.mu.Unlock()
	if wasSilent {
		x.log.Info("peer live", "peer", m.Name, "boot", m.Boot, "table", m.Table)
	}
	if previous.Name != "" && previous != current {
		x.handler.ForgetPeer(previous)
	}
	if wasSilent || changed {
		x.handler.PeersChanged()
	}
	x.handler.ReceiveState(current, s)
	if m.Summary != nil {
		x.handler.ReceiveSummary(current, Summary{Usage: m.Summary.Usage, Evidence: m.Summary.Evidence, Limits: m.Summary.Limits, Loads: m.Summary.Loads})
	}
	if c.validFor(x.boot, x.uptime()) {
		x.handler.Confirm(c.Table, time.Duration(c.EchoNanos-c.AgeNanos))
	}
}

// addListedPeers adds the peers that a summary lists.
func (x *Exchange) addListedPeers(s *summary) {
	if s == nil {
		return
	}
	for _, text := range s.Peers {
		if a, err := netip.ParseAddrPort(text); err == nil {
			x.addPeer(a)
		}
	}
}

// tick reports to peers that got no report for maxReportInterval, invalidates the
// state of peers that have timed out, and removes peers that have been silent for
// peerRetention.
func (x *Exchange) tick(now time.Time) {
	var silent []Peer
	x.mu.Lock()
	for a, p := range x.peers {
		switch {
		case p.Name == "" || now.Sub(p.lastHeard) < x.timeout(p):
		case !p.silent:
			p.silent = true
			silent = append(silent, p.Peer)
			x.log.Warn("peer silent", "peer", p.Name, "boot", p.Boot, "silence", now.Sub(p.lastHeard).Round(time.Millisecond))
		case now.Sub(p.lastHeard) > peerRetention && !slices.Contains(x.seeds, a):
			delete(x.peers, a)
			if x.addresses[p.Name] == a {
				delete(x.addresses, p.Name)
			}
		}
	}
	if len(silent) > 0 {
		x.elect()
	}
	x.mu.Unlock()
	for _, p := range silent {
		x.handler.PeerSilent(p)
	}
	if len(silent) > 0 {
		x.handler.PeersChanged()
	}
	x.sendReports(now, nil)
}

// timeout returns how long the reports of a peer remain valid. It is called with mu
// held.
func (x *Exchange) timeout(p *peer) time.Duration {
	if p.silent {
		return peerTimeout
	}
	return max(peerTimeout, missedReports*x.plan(p).interval)
}
