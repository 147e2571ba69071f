// Package exchange shares the state of each entry of a fleet with the others in
// small datagrams. A report replaces the previous one, so the next report makes
// up for a lost datagram and nothing is acknowledged. Start from [New].
//
// Datagrams are not authenticated, because the platform gives the processes no
// keys. A report can only change where an entry sends requests and when it
// refuses them, never the content that a caller receives.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/quota"
)

const (
	// maxReportInterval is the longest time between two reports to a peer.
	maxReportInterval = 200 * time.Millisecond
	// minReportInterval is the shortest time between two reports. It applies to
	// urgent changes, such as a slot that is taken or released; other changes are
	// collected and reported every flushInterval.
	minReportInterval = 4 * time.Millisecond
	flushInterval     = 40 * time.Millisecond
	// datagramsPerSecond limits the rate at which an entry sends datagrams, so that
	// their cost does not grow with the square of the fleet. datagramBurst is the
	// number of datagrams that it may send at once after a pause.
	datagramsPerSecond = 400
	datagramBurst      = 100
	// otherDomainInterval is the time between two reports to peers in other failure
	// domains when the rate limit does not allow all reports: entries mostly use
	// endpoints of their own domain.
	otherDomainInterval = 90 * time.Millisecond
	// peerTimeout is how long a peer's report remains valid without a newer one.
	peerTimeout = 900 * time.Millisecond
	// peerRetention is how long the address of a silent peer is kept.
	peerRetention = time.Minute
	// silentPeerInterval is the time between two reports to a silent peer.
	silentPeerInterval = time.Second
	// maxDatagramBytes is the size of the largest report that is read.
	maxDatagramBytes = 8 << 10
	// summaryInterval is the time between two reports with a summary. One of every
	// summariesPerPeerList summaries lists the peers.
	summaryInterval      = 150 * time.Millisecond
	summariesPerPeerList = 8
	// maxSuspects limits the suspects of one summary, so that a report fits into one
	// packet. A crash of eleven endpoints left eighty suspects.
	maxSuspects = 16
	// maxPeers limits the number of peers that reports are sent to.
	maxPeers = 32
)

// State is the part of a report that an entry sends after every change.
type State struct {
	// Table is the version of the routing table in force.
	Table    uint64
	Dispatch dispatch.Report
	Leaving  bool
}

// Summary is the part of a report that an entry sends a few times a second. It is
// larger than State and may be older.
type Summary struct {
	Usage quota.Usage
	// Suspects is a sample of the requests that crashed endpoints, a different one
	// in each summary.
	Suspects []frame.Suspect
}

// Peer is one incarnation of another entry.
type Peer struct {
	Name string
	Boot uint64
}

// String returns the name and the incarnation.
func (p Peer) String() string { return fmt.Sprintf("%s/%d", p.Name, p.Boot) }

// Handler supplies the state of this entry and receives the reports of its peers.
type Handler interface {
	// State returns the current state of this entry.
	State() State
	// Summary returns the current summary of this entry, with at most the given
	// number of suspects.
	Summary(suspects int) Summary
	// ReceiveState handles the state that a peer reports.
	ReceiveState(peer Peer, s State)
	// ReceiveSummary handles the summary that a peer reports.
	ReceiveSummary(peer Peer, s Summary)
	// Confirmed returns the version of the table in force and the time since it was
	// last known to be the newest, both at the same moment.
	Confirmed() (table uint64, age time.Duration)
	// Confirm is called when a peer knew the table of that version to be the newest
	// at the given uptime of this VM.
	Confirm(table uint64, at time.Duration)
	// PeerSilent is called when a peer has timed out and its state is no longer
	// valid.
	PeerSilent(peer Peer)
	// ForgetPeer is called when an incarnation of a peer is gone, replaced by
	// another at its address.
	ForgetPeer(peer Peer)
	// PeersChanged is called when the result of Peers may have changed.
	PeersChanged()
}

// peer is the state of the peer at one address.
type peer struct {
	Peer
	reportNumber uint64
	lastHeard    time.Time
	// lastSent is the time of the last report to the peer.
	lastSent time.Time
	// timestampNanos is the last timestamp that the peer sent, its uptime in
	// nanoseconds.
	timestampNanos int64
	domain         string
	leaving        bool
	silent         bool
}

// Exchange sends and receives reports. It is safe for use by several goroutines.
type Exchange struct {
	name    string
	domain  string
	address netip.AddrPort
	seeds   []netip.AddrPort
	boot    uint64
	handler Handler
	clock   damasktrail.Clock
	// uptime returns the time since the machine booted, suspended time included.
	uptime func() time.Duration
	log    *slog.Logger
	conn   *net.UDPConn
	// reportDue holds an element when a report is to be sent.
	reportDue chan struct{}
	// changePending is true while a change that is not urgent waits for the next
	// report.
	changePending atomic.Bool

	mu           sync.Mutex
	reportNumber uint64
	// lastSummary is the time of the last summary, summaryCount the number of
	// summaries sent.
	lastSummary  time.Time
	summaryCount uint64
	// peers is keyed by address and holds at most maxPeers entries.
	peers map[netip.AddrPort]*peer
}

// New binds address for an entry in a failure domain. Seeds are addresses of peers;
// the entry's own address among them is ignored. Boot must differ between two
// starts of the process.
func New(name, domain, address string, seeds []string, boot uint64, handler Handler, clock damasktrail.Clock, uptime func() time.Duration, log *slog.Logger) (res *Exchange, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open the exchange on %s: %w", address, err)
		}
	}()
	own, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	res = &Exchange{
		name: name, domain: domain, address: own, boot: boot, handler: handler, clock: clock, uptime: uptime, log: log,
		reportDue: make(chan struct{}, 1), peers: map[netip.AddrPort]*peer{},
	}
	for _, s := range seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		res.seeds = append(res.seeds, a)
		res.addPeer(a)
	}
	res.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	return res, err
}

// Address returns the bound address.
func (x *Exchange) Address() string { return x.conn.LocalAddr().String() }

// Start sends and receives reports in tasks of the group until the group ends.
func (x *Exchange) Start(tasks *group.Group) {
	tasks.Go(x.runReceiver)
	tasks.Go(x.runSender)
	cancel := x.clock.Subscribe(maxReportInterval/2, x.tick)
	cancelFlush := x.clock.Subscribe(flushInterval, func(time.Time) { x.flush() })
	tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		cancel()
		cancelFlush()
		_ = x.conn.Close()
	})
}

// Changed signals that the state has changed. An urgent change is reported at once,
// as far as the rate limit allows. It does not block.
func (x *Exchange) Changed(urgent bool) {
	if !urgent {
		x.changePending.Store(true)
		return
	}
	select {
	case x.reportDue <- struct{}{}:
	default:
	}
}

// flush triggers a report if a change that is not urgent is pending.
func (x *Exchange) flush() {
	if x.changePending.Load() {
		x.Changed(true)
	}
}

// addPeer adds a peer's address unless it is known already, is the address of this
// entry, or exceeds maxPeers.
func (x *Exchange) addPeer(a netip.AddrPort) {
	if _, found := x.peers[a]; found || a == x.address || len(x.peers) >= maxPeers {
		return
	}
	x.peers[a] = &peer{silent: true}
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

// runSender sends reports after changes, within the rate limit.
func (x *Exchange) runSender(ctx context.Context) {
	credit, lastRefill := float64(datagramBurst), x.clock.Now()
	for {
		select {
		case <-x.reportDue:
		case <-ctx.Done():
			return
		}
		now := x.clock.Now()
		credit = min(datagramBurst, credit+now.Sub(lastRefill).Seconds()*datagramsPerSecond)
		lastRefill = now
		credit -= float64(x.sendReports(now, reportIntervals{otherDomain: otherDomainWait(credit)}))
		wait := max(minReportInterval, time.Duration(-credit/datagramsPerSecond*float64(time.Second)))
		if x.clock.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// reportIntervals are the least times between two reports to a peer, by whether the
// peer is in the same failure domain.
type reportIntervals struct{ sameDomain, otherDomain time.Duration }

// otherDomainWait returns the time between two reports to peers in other failure
// domains while the given number of datagrams may be sent at once.
func otherDomainWait(credit float64) time.Duration {
	if credit > datagramBurst/2 {
		return 0
	}
	return otherDomainInterval
}

// sendReports sends the state to the peers whose last report is old enough, and
// returns their number.
func (x *Exchange) sendReports(now time.Time, intervals reportIntervals) int {
	targets := x.duePeers(now, intervals)
	if len(targets) == 0 {
		return 0
	}
	x.changePending.Store(false)
	body, err := x.encode(now)
	if err != nil {
		x.log.Error("report cannot be encoded", "error", err)
		return 0
	}
	for _, a := range targets {
		trailer, err := x.encodeConfirmation(a)
		if err != nil {
			x.log.Error("report cannot be encoded", "error", err)
			return 0
		}
		if _, err := x.conn.WriteToUDPAddrPort(slices.Concat(body, trailer), a); err != nil && !errors.Is(err, net.ErrClosed) {
			x.log.Debug("report not sent", "peer", a.String(), "error", err)
		}
	}
	return len(targets)
}

// duePeers returns the addresses of the peers to report to and sets their time of
// the last report.
func (x *Exchange) duePeers(now time.Time, intervals reportIntervals) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	var res []netip.AddrPort
	for a, p := range x.peers {
		wait := intervals.otherDomain
		switch {
		case p.silent:
			wait = silentPeerInterval
		case p.domain == x.domain:
			wait = intervals.sameDomain
		}
		if now.Sub(p.lastSent) >= wait {
			p.lastSent = now
			res = append(res, a)
		}
	}
	return res
}

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
		m, c, err := decode(buffer[:n])
		if err != nil {
			x.log.Warn("report cannot be decoded", "peer", from.String(), "error", err)
			continue
		}
		x.handleReport(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m, c)
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
	previous, wasSilent := p.Peer, p.silent
	p.Peer, p.reportNumber = Peer{Name: m.Name, Boot: m.Boot}, m.Number
	p.lastHeard, p.leaving, p.silent = x.clock.Now(), s.Leaving, false
	p.domain, p.timestampNanos = m.Domain, c.TimestampNanos
	x.addListedPeers(m.Summary)
	current := p.Peer
	x.mu.Unlock()
	if wasSilent {
		x.log.Info("peer live", "peer", m.Name, "boot", m.Boot, "table", m.Table)
	}
	if previous.Name != "" && previous != current {
		x.handler.ForgetPeer(previous)
	}
	if wasSilent {
		x.handler.PeersChanged()
	}
	x.handler.ReceiveState(current, s)
	if m.Summary != nil {
		x.handler.ReceiveSummary(current, m.Summary.toSummary())
	}
	if c.validFor(x.boot, x.uptime()) {
		x.handler.Confirm(c.Table, time.Duration(c.EchoNanos-c.AgeNanos))
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
		case p.Name == "" || now.Sub(p.lastHeard) < peerTimeout:
		case !p.silent:
			p.silent = true
			silent = append(silent, p.Peer)
			x.log.Warn("peer silent", "peer", p.Name, "boot", p.Boot, "silence", now.Sub(p.lastHeard).Round(time.Millisecond))
		case now.Sub(p.lastHeard) > peerRetention && !slices.Contains(x.seeds, a):
			delete(x.peers, a)
		}
	}
	x.mu.Unlock()
	for _, p := range silent {
		x.handler.PeerSilent(p)
	}
	if len(silent) > 0 {
		x.handler.PeersChanged()
	}
	x.sendReports(now, reportIntervals{sameDomain: maxReportInterval, otherDomain: maxReportInterval})
}

// HasAvailablePeer reports whether there is a live peer that is not shutting down.
func (x *Exchange) HasAvailablePeer() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p := range maps.Values(x.peers) {
		if !p.silent && !p.leaving {
			return true
		}
	}
	return false
}

// Peers returns the names of the live peers, sorted.
func (x *Exchange) Peers() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var res []string
	for p := range maps.Values(x.peers) {
		if !p.silent {
			res = append(res, p.Name)
		}
	}
	slices.Sort(res)
	return res
}
