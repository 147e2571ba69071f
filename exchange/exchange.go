// Package exchange tells the entries of one fleet what each of them holds, by
// small datagrams. A report replaces the one before, so a lost datagram is
// repaired by the next; nothing is acknowledged. Start from [New].
//
// Datagrams are not authenticated: the platform gives the processes no keys.
// A report can only change where an entry sends requests and when it refuses
// them, never what a caller gets.
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
	// interval is the longest time between two reports to a peer.
	interval = 200 * time.Millisecond
	// spacing is the shortest time between two reports. What is taken or given back
	// is reported then; other changes are reported after quietTime with it.
	spacing   = 4 * time.Millisecond
	quietTime = 40 * time.Millisecond
	// perSecond bounds the datagrams of an entry, so that their cost does not grow
	// with the square of the fleet, and burst those that it may send at once after a
	// pause.
	perSecond = 400
	burst     = 100
	// farTime is the time between two reports to peers in other failure domains when
	// the rate does not allow all: entries mostly use endpoints of their own domain.
	farTime = 90 * time.Millisecond
	// life is how long a peer's report counts without a newer one.
	life = 900 * time.Millisecond
	// forget is how long the address of a silent peer is kept.
	forget = time.Minute
	// retrySilent is the time between reports to a peer that is silent.
	retrySilent = time.Second
	// maxDatagram is the largest report in bytes that is read.
	maxDatagram = 8 << 10
	// summaryInterval is the time between two reports with a summary, and
	// peersEvery the number of summaries of which one lists the peers.
	summaryInterval = 150 * time.Millisecond
	peersEvery      = 8
	// maxSuspects bounds the suspects of one summary, so that a report fits into
	// one packet. After a crash of eleven endpoints there were eighty suspects.
	maxSuspects = 16
	// maxPeers bounds the peers that reports go to.
	maxPeers = 32
)

// State is what an entry reports of itself after every change.
type State struct {
	// Table is the version of the routing table in force.
	Table    uint64
	Dispatch dispatch.Report
	Leaving  bool
}

// Summary is what an entry reports a few times a second. It is larger than State
// and may be older.
type Summary struct {
	Usage quota.Usage
	// Suspects has some of the requests that crashed endpoints, others each time.
	Suspects []frame.Suspect
}

// Peer is one incarnation of another entry.
type Peer struct {
	Name string
	Boot uint64
}

// String returns the name and the incarnation.
func (p Peer) String() string { return fmt.Sprintf("%s/%d", p.Name, p.Boot) }

// Owner is told what peers report.
type Owner interface {
	// State returns what this entry reports after every change.
	State() State
	// Summary returns what this entry reports now and then, with at most the given
	// number of suspects.
	Summary(suspects int) Summary
	// Learn takes the report of one peer.
	Learn(peer Peer, s State)
	// LearnSummary takes the summary of one peer.
	LearnSummary(peer Peer, s Summary)
	// Confirmed returns the version of the table in force and the time since it was
	// known to be the newest, both of one moment.
	Confirmed() (table uint64, age time.Duration)
	// Confirm says that a peer knew the table of that version to be the newest at
	// the given uptime of this VM.
	Confirm(table uint64, at time.Duration)
	// Silent says that a peer's state no longer counts.
	Silent(peer Peer)
	// Forget says that a peer's incarnation is gone.
	Forget(peer Peer)
	// PeersChanged says that Peers returns others than before.
	PeersChanged()
}

// peer is what is known at one address.
type peer struct {
	Peer
	number uint64
	heard  time.Time
	// sent is the time of the last report to it.
	sent time.Time
	// stamp is the last stamp that it sent.
	stamp   int64
	domain  string
	leaving bool
	silent  bool
}

// Exchange sends and receives reports. It is safe for use by several goroutines.
type Exchange struct {
	name    string
	domain  string
	address netip.AddrPort
	seeds   []netip.AddrPort
	boot    uint64
	owner   Owner
	clock   damasktrail.Clock
	// uptime is the time since the machine's start, suspended time included.
	uptime func() time.Duration
	log    *slog.Logger
	conn   *net.UDPConn
	// dirty holds an element when a report is due.
	dirty chan struct{}
	// touched says that a change waits for the next report.
	touched atomic.Bool

	mu     sync.Mutex
	number uint64
	// summarised is the time of the last summary, and summaries their number.
	summarised time.Time
	summaries  uint64
	// peers is by address and holds at most maxPeers.
	peers map[netip.AddrPort]*peer
}

// New binds address for an entry in a failure domain. Seeds are addresses of
// peers; its own is left out. Boot must differ between two starts of the process.
func New(name, domain, address string, seeds []string, boot uint64, owner Owner, clock damasktrail.Clock, uptime func() time.Duration, log *slog.Logger) (res *Exchange, err error) {
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
		name: name, domain: domain, address: own, boot: boot, owner: owner, clock: clock, uptime: uptime, log: log,
		dirty: make(chan struct{}, 1), peers: map[netip.AddrPort]*peer{},
	}
	for _, s := range seeds {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, err
		}
		res.seeds = append(res.seeds, a)
		res.add(a)
	}
	res.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	return res, err
}

// Address returns the bound address.
func (x *Exchange) Address() string { return x.conn.LocalAddr().String() }

// Start exchanges reports as tasks of the group until it ends.
func (x *Exchange) Start(tasks *group.Group) {
	tasks.Go(x.receive)
	tasks.Go(x.send)
	cancel := x.clock.Subscribe(interval/2, x.tick)
	cancelTouched := x.clock.Subscribe(quietTime, func(time.Time) { x.flush() })
	tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		cancel()
		cancelTouched()
		_ = x.conn.Close()
	})
}

// Changed says that the state has changed. An urgent change is reported at once,
// as far as the rate allows. It does not block.
func (x *Exchange) Changed(urgent bool) {
	if !urgent {
		x.touched.Store(true)
		return
	}
	select {
	case x.dirty <- struct{}{}:
	default:
	}
}

// flush has changes reported that are not urgent.
func (x *Exchange) flush() {
	if x.touched.Load() {
		x.Changed(true)
	}
}

// add notes a peer's address.
func (x *Exchange) add(a netip.AddrPort) {
	if _, found := x.peers[a]; found || a == x.address || len(x.peers) >= maxPeers {
		return
	}
	x.peers[a] = &peer{silent: true}
}

// addAll notes the addresses that a peer knows.
func (x *Exchange) addAll(s *summary) {
	if s == nil {
		return
	}
	for _, text := range s.Peers {
		if a, err := netip.ParseAddrPort(text); err == nil {
			x.add(a)
		}
	}
}

// send reports to peers after a change, as often as the rate allows.
func (x *Exchange) send(ctx context.Context) {
	credit, last := float64(burst), x.clock.Now()
	for {
		select {
		case <-x.dirty:
		case <-ctx.Done():
			return
		}
		now := x.clock.Now()
		credit = min(burst, credit+now.Sub(last).Seconds()*perSecond)
		last = now
		credit -= float64(x.report(now, pauses{far: farPause(credit)}))
		pause := max(spacing, time.Duration(-credit/perSecond*float64(time.Second)))
		if x.clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// pauses are the times since the last report after which a peer gets one, by
// whether it is in the same failure domain.
type pauses struct{ near, far time.Duration }

// farPause returns how long peers in other failure domains wait for a report while
// the given number of datagrams may be sent at once.
func farPause(credit float64) time.Duration {
	if credit > burst/2 {
		return 0
	}
	return farTime
}

// report sends the state to the peers that got none for long enough, and returns
// their number.
func (x *Exchange) report(now time.Time, after pauses) int {
	to := x.due(now, after)
	if len(to) == 0 {
		return 0
	}
	x.touched.Store(false)
	body, err := x.encode(now)
	if err != nil {
		x.log.Error("report cannot be encoded", "error", err)
		return 0
	}
	for _, a := range to {
		tail, err := x.proof(a)
		if err != nil {
			x.log.Error("report cannot be encoded", "error", err)
			return 0
		}
		if _, err := x.conn.WriteToUDPAddrPort(slices.Concat(body, tail), a); err != nil && !errors.Is(err, net.ErrClosed) {
			x.log.Debug("report not sent", "peer", a.String(), "error", err)
		}
	}
	return len(to)
}

// due returns the peers to report to and notes that they are reported to.
func (x *Exchange) due(now time.Time, after pauses) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	var res []netip.AddrPort
	for a, p := range x.peers {
		wait := after.far
		switch {
		case p.silent:
			wait = retrySilent
		case p.domain == x.domain:
			wait = after.near
		}
		if now.Sub(p.sent) >= wait {
			p.sent = now
			res = append(res, a)
		}
	}
	return res
}

// receive reads reports until the connection is closed.
func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			x.log.Warn("report not read", "error", err)
			continue
		}
		m, p, err := decode(buffer[:n])
		if err != nil {
			x.log.Warn("report cannot be decoded", "peer", from.String(), "error", err)
			continue
		}
		x.accept(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m, p)
	}
}

// accept takes a report unless a newer one came before it.
func (x *Exchange) accept(from netip.AddrPort, m message, proven proof) {
	s := m.state()
	x.mu.Lock()
	x.add(from)
	p := x.peers[from]
	if p == nil || p.Boot == m.Boot && m.Number <= p.number {
		x.mu.Unlock()
		return
	}
	before, regained := p.Peer, p.silent
	p.Peer, p.number = Peer{Name: m.Name, Boot: m.Boot}, m.Number
	p.heard, p.leaving, p.silent = x.clock.Now(), s.Leaving, false
	p.domain, p.stamp = m.Domain, proven.Stamp
	x.addAll(m.Summary)
	now := p.Peer
	x.mu.Unlock()
	if regained {
		x.log.Info("peer live", "peer", m.Name, "boot", m.Boot, "table", m.Table)
	}
	if before.Name != "" && before != now {
		x.owner.Forget(before)
	}
	if regained {
		x.owner.PeersChanged()
	}
	x.owner.Learn(now, s)
	if m.Summary != nil {
		x.owner.LearnSummary(now, m.Summary.values())
	}
	if proven.dates(x.boot, x.uptime()) {
		x.owner.Confirm(proven.Table, time.Duration(proven.Echo-proven.Age))
	}
}

// tick reports to quiet peers and drops what silent ones reported.
func (x *Exchange) tick(now time.Time) {
	var silent []Peer
	x.mu.Lock()
	for a, p := range x.peers {
		switch {
		case p.Name == "" || now.Sub(p.heard) < life:
		case !p.silent:
			p.silent = true
			silent = append(silent, p.Peer)
			x.log.Warn("peer silent", "peer", p.Name, "boot", p.Boot, "silence", now.Sub(p.heard).Round(time.Millisecond))
		case now.Sub(p.heard) > forget && !slices.Contains(x.seeds, a):
			delete(x.peers, a)
		}
	}
	x.mu.Unlock()
	for _, p := range silent {
		x.owner.Silent(p)
	}
	if len(silent) > 0 {
		x.owner.PeersChanged()
	}
	x.report(now, pauses{near: interval, far: interval})
}

// Available reports whether a peer is live that is not shutting down.
func (x *Exchange) Available() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p := range maps.Values(x.peers) {
		if !p.silent && !p.leaving {
			return true
		}
	}
	return false
}

// Peers returns the names of the peers that are live, sorted.
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
