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
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
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
	// datagramsPerSecond limits the rate at which an entry reports changes, so that
	// the cost does not grow with the square of the fleet. A coordinator of a large
	// fleet reports the slots of many entries, to a few peers, and may send
	// coordinatorDatagramsPerSecond. datagramBurst is the number of datagrams that it
	// may send at once after a pause.
	datagramsPerSecond            = 400
	coordinatorDatagramsPerSecond = 1000
	datagramBurst                 = 100
	// otherDomainInterval is the time between two reports to peers in other failure
	// domains when the rate limit does not allow all reports: entries mostly use
	// endpoints of their own domain.
	otherDomainInterval = 90 * time.Millisecond
	// memberReportsPerSecond limits the reports to all peers of a large fleet that
	// are neither coordinators nor clients of this entry.
	memberReportsPerSecond = 150
	// peerTimeout is how long a peer's report remains valid without a newer one, and
	// missedReports the number of reports that may be missing when they are rarer.
	peerTimeout   = 900 * time.Millisecond
	missedReports = 3
	// availableTimeout is how recently a coordinator must have been heard to be asked
	// for slots.
	availableTimeout = 500 * time.Millisecond
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
	// maxEvidence limits the reports about crashes in one summary, so that a report fits
	// into one packet. A crash of eleven endpoints concerned eighty requests.
	maxEvidence = 12
	// maxLimits limits the reports about limits and loads of endpoints in one summary, for
	// the same reason.
	maxLimits = 8
	// maxPeers limits the memory that datagrams from unknown addresses can take.
	maxPeers = 1024
	// maxListedPeers limits the peers that one summary lists, so that a report fits
	// into one packet.
	maxListedPeers = 32
)

// State is the part of a report that an entry sends after every change.
type State struct {
	// Table is the version of the routing table in force, Endpoints the revision of
	// the last change of the endpoints that the entry knows.
	Table, Endpoints uint64
	// Evacuations is the revision of the last change of the evacuated failure domains that
	// the entry knows.
	Evacuations uint64
	Dispatch    dispatch.Report
	Leaving     bool
	// Ineligible says that the entry must not be elected as a coordinator.
	Ineligible bool
	// Partial says that the report carries no Dispatch.
	Partial bool
}

// eligible reports whether an entry in this state can be elected as a coordinator.
func (s State) eligible() bool { return s.Table > 0 && !s.Leaving && !s.Ineligible }

// Summary is the part of a report that an entry sends a few times a second. It is
// larger than State and may be older.
type Summary struct {
	Usage quota.Usage
	// Evidence is a part of what the entry knows of crashes of endpoints, a different one
	// in each summary.
	Evidence []frame.Evidence
	// Limits is a part of what endpoints have said of their limits in answers to the entry.
	Limits []fleet.LimitReport
	// Loads is a part of what endpoints have stated of their load in answers to the entry.
	Loads []fleet.LoadReport
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
	// numbers of reports about crashes and of reports about limits and loads.
	Summary(evidence, endpoints int) Summary
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
	// ReceiveDatagram handles a datagram that a peer passed to Send.
	ReceiveDatagram(peer Peer, datagram []byte)
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
	millicores     int
	// eligible says that the peer can be elected as a coordinator.
	eligible bool
	leaving  bool
	silent   bool
	// lastSummary is the time of the last report with a summary to the peer,
	// summaries their number since it was last silent.
	lastSummary time.Time
	summaries   uint64
}

// membership is what the election depends on.
type membership struct {
	member bool
	coordinator.Member
}

// member returns the membership of the peer.
func (p *peer) member() membership {
	if p.silent || !p.eligible {
		return membership{}
	}
	return membership{member: true, Member: coordinator.Member{Name: p.Name, Domain: p.domain, Millicores: p.millicores}}
}

// Exchange sends and receives reports. It is safe for use by several goroutines.
type Exchange struct {
	self    coordinator.Member
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

	// election has the coordinators that follow from the live peers.
	election atomic.Pointer[coordinator.Election]

	mu           sync.Mutex
	reportNumber uint64
	// eligible says that this entry can be elected as a coordinator.
	eligible bool
	// peers is keyed by address and holds at most maxPeers entries, addresses by the
	// names of peers.
	peers     map[netip.AddrPort]*peer
	addresses map[string]netip.AddrPort
}

// New binds address for the entry self. Seeds are addresses of peers; the entry's own
// address among them is ignored. Boot must differ between two starts of the process.
func New(self coordinator.Member, address string, seeds []string, boot uint64, handler Handler, clock damasktrail.Clock, uptime func() time.Duration, log *slog.Logger) (res *Exchange, err error) {
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
		self: self, address: own, boot: boot, handler: handler, clock: clock, uptime: uptime, log: log,
		reportDue: make(chan struct{}, 1), peers: map[netip.AddrPort]*peer{}, addresses: map[string]netip.AddrPort{},
	}
	nobody := coordinator.Elect(nil)
	res.election.Store(&nobody)
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

// HasPeers reports whether the address of any peer is known.
func (x *Exchange) HasPeers() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.peers) > 0
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

// LivePeers returns the names of the live peers that are not shutting down.
func (x *Exchange) LivePeers() (res []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p := range maps.Values(x.peers) {
		if !p.silent && !p.leaving {
			res = append(res, p.Name)
		}
	}
	return res
}

// Election returns the coordinators that follow from the peers that are live now.
func (x *Exchange) Election() coordinator.Election { return *x.election.Load() }

// Alive reports whether the peer of that name is not silent.
func (x *Exchange) Alive(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[x.addresses[name]]
	return p != nil && p.Name == name && !p.silent
}

// Available reports whether the peer of that name has been heard recently and is not
// shutting down.
func (x *Exchange) Available(name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[x.addresses[name]]
	if p == nil || p.Name != name || p.silent || p.leaving {
		return false
	}
	timeout := max(availableTimeout, missedReports*x.plan(p).interval)
	if p.domain == x.self.Domain && x.Election().IsCoordinator(name) {
		timeout = availableTimeout
	}
	return x.clock.Now().Sub(p.lastHeard) < timeout
}

// Send sends a datagram to the peer of that name. The first byte of the datagram must
// be that of a CBOR array, which no report begins with.
func (x *Exchange) Send(name string, datagram []byte) {
	x.mu.Lock()
	address, found := x.addresses[name]
	x.mu.Unlock()
	if !found {
		return
	}
	x.write(datagram, address)
}

// elect elects the coordinators anew. It is called with mu held.
func (x *Exchange) elect() {
	var members []coordinator.Member
	if x.eligible {
		members = append(members, x.self)
	}
	for p := range maps.Values(x.peers) {
		if m := p.member(); m.member {
			members = append(members, m.Member)
		}
	}
	before, next := x.election.Load(), coordinator.Elect(members)
	x.election.Store(&next)
	if was, is := before.IsCoordinator(x.self.Name), next.IsCoordinator(x.self.Name); was != is || before.IsEqual() != next.IsEqual() {
		x.log.Info("coordinators elected", "members", len(members), "coordinators", len(next.Coordinators()), "self", is)
	}
}
