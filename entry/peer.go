package entry

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/member"
)

const (
	// peerHeartbeatInterval is the interval of heartbeats between entries. A
	// heartbeat carries the generation, so the interval also bounds how long a
	// lost push stays unrepaired.
	peerHeartbeatInterval = 2 * time.Second
	// pushRanks is the number of an agent's entries that react to a new document:
	// the first sends the document, the others send its generation.
	pushRanks = 3
)

// peer is another entry that this entry has a link with.
type peer struct {
	vm      member.VM
	session atomic.Pointer[session]
	stop    context.CancelFunc
}

// self returns this entry as the VM list shows it, or as its settings describe
// it while the list lacks it.
func (e *Entry) self(l *member.List) member.VM {
	if vm, found := l.VM(e.settings.Name); found {
		return vm
	}
	return member.VM{
		Name: e.settings.Name, Role: member.RoleEntry, Address: e.settings.Gossip,
		Domain: e.settings.Domain, State: member.StateLive,
	}
}

// regionOf returns the region of a failure domain, empty when unknown.
func regionOf(d *document.Document, domain string) string {
	res, _ := d.Domain(domain)
	return res.Region
}

// choosePeers returns the entries to keep links with.
func choosePeers(l *member.List, d *document.Document, self member.VM) []member.VM {
	var sameRegion, otherRegions []member.VM
	region := regionOf(d, self.Domain)
	for _, vm := range l.VMs {
		switch {
		case vm.Role != member.RoleEntry || vm.State != member.StateLive || vm.Name == self.Name:
		case regionOf(d, vm.Domain) == region:
			sameRegion = append(sameRegion, *vm)
		default:
			otherRegions = append(otherRegions, *vm)
		}
	}
	byRank := func(a, b member.VM) int {
		return cmp.Compare(member.Rank(self.Name, b.Name), member.Rank(self.Name, a.Name))
	}
	slices.SortFunc(sameRegion, byRank)
	slices.SortFunc(otherRegions, byRank)
	return append(sameRegion[:min(len(sameRegion), sameRegionPeers):min(len(sameRegion), sameRegionPeers)], otherRegions[:min(len(otherRegions), otherRegionPeers)]...)
}

func (c *control) relinkPeers(l *member.List, d *document.Document, self member.VM) {
	wanted := map[string]member.VM{}
	for _, vm := range choosePeers(l, d, self) {
		wanted[vm.Name] = vm
	}
	for name, p := range c.peers {
		if vm, found := wanted[name]; p.stop != nil && (!found || vm.Address != p.vm.Address) {
			p.stop()
			delete(c.peers, name)
		}
	}
	for name, vm := range wanted {
		if p, found := c.peers[name]; found && p.stop != nil {
			continue
		}
		ctx, stop := context.WithCancel(c.e.tasks.Context())
		p := &peer{vm: vm, stop: stop}
		c.peers[name] = p
		c.e.tasks.Go(func(context.Context) { c.e.maintainPeer(ctx, p) })
	}
	c.e.expectedPeers.Store(int64(len(wanted)))
}

// maintainPeer keeps a link to another entry until ctx ends.
func (e *Entry) maintainPeer(ctx context.Context, p *peer) {
	e.redial(ctx, p.vm.Address, e.peerDialer, func(conn *link.Conn) error {
		s, hello, err := e.openControl(ctx, conn)
		if err != nil {
			return err
		}
		if s.name != p.vm.Name {
			return &PeerError{Want: p.vm.Name, Got: s.name}
		}
		stop := context.AfterFunc(ctx, func() { conn.Close("not a peer") })
		defer stop()
		p.session.Store(s)
		defer p.session.Store(nil)
		return e.servePeer(s, hello)
	}, func() {})
}

// acceptPeers serves links that other entries opened.
func (e *Entry) acceptPeers(ctx context.Context) {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		e.tasks.Go(func(context.Context) { e.serveAccepted(conn) })
	}
}

func (e *Entry) serveAccepted(conn *link.Conn) {
	defer conn.Close("done")
	stream, err := conn.Accept(conn.Context())
	if err != nil {
		return
	}
	raw, err := stream.Receive()
	if err != nil {
		return
	}
	hello, err := frame.Decode[frame.Hello](raw, frame.KindHello)
	if err != nil || hello.Name != conn.Peer().Name {
		e.metrics.Count("protocol_errors", 1)
		return
	}
	s := e.newSession(conn, stream, hello)
	s.send(frame.KindHello, e.hello())
	// Peers that dialled this entry also receive announcements; this entry does
	// not redial them.
	name := "accepted " + hello.Name + " " + hello.Incarnation
	p := &peer{}
	p.session.Store(s)
	e.post(func(c *control) { c.peers[name] = p })
	defer e.post(func(c *control) {
		if c.peers[name] == p {
			delete(c.peers, name)
		}
	})
	_ = e.servePeer(s, hello)
}

// servePeer exchanges control messages with another entry until the link ends.
func (e *Entry) servePeer(s *session, hello frame.Hello) error {
	tasks := group.New(s.conn.Context())
	defer tasks.Close()
	defer s.conn.Close("done")
	tasks.Go(s.write)
	e.comparedWithPeer.Store(true)
	e.compare(s, frame.TopicDocument, hello.Generation)
	e.compare(s, frame.TopicVMs, hello.VMListVersion)
	cancel := e.clock.Subscribe(peerHeartbeatInterval, func(now time.Time) {
		if now.Sub(time.Unix(0, s.lastReceived.Load())) > 2*silenceTimeout {
			e.metrics.Count("links_silent", 1)
			s.conn.Close("silent")
			return
		}
		s.send(frame.KindHeartbeat, e.heartbeat())
	})
	defer cancel()
	for {
		raw, err := s.control.Receive()
		if err != nil {
			if now := e.clock.Now(); now.Sub(time.Unix(0, s.lastReceived.Load())) > 2*silenceTimeout {
				return errSilent
			}
			return err
		}
		now := e.clock.Now()
		s.lastReceived.Store(now.UnixNano())
		if raw.Kind != frame.KindHeartbeat {
			e.receiveRollout(s, raw)
			continue
		}
		b, err := frame.Decode[frame.Heartbeat](raw, frame.KindHeartbeat)
		if err != nil {
			return err
		}
		e.recordContact(now.Add(-time.Duration(b.PlatformAgeMillis) * time.Millisecond))
		e.compare(s, frame.TopicDocument, b.Generation)
		e.handleBeat(s, b, now)
		e.compare(s, frame.TopicVMs, b.VMListVersion)
	}
}

// announce sends a new document to peers and to the agents for which this entry
// is ranked first; agents for which it has one of the next ranks get only the
// generation. A process that has announced the generation itself gets nothing.
// announce does nothing when the document in force was announced before.
func (c *control) announce() {
	d := c.e.documents.Load()
	if d == nil || d.Generation == c.announced {
		return
	}
	c.e.log.Info("document in force", "generation", d.Generation)
	previous := c.announced
	c.announced = d.Generation
	updates := c.e.rollout.Since(frame.TopicDocument, previous)
	for _, p := range c.peers {
		if s := p.session.Load(); s != nil && s.knownGeneration.Load() < d.Generation {
			for _, m := range updates {
				s.send(m.Kind, m.Body)
			}
		}
	}
	beat := c.e.heartbeat()
	for _, r := range c.agents {
		s := r.session.Load()
		switch {
		case s == nil || s.knownGeneration.Load() >= d.Generation:
		case r.rank == 0:
			for _, m := range updates {
				s.send(m.Kind, m.Body)
			}
		case r.rank < pushRanks:
			s.send(frame.KindHeartbeat, beat)
		}
	}
}

// heartbeat returns a heartbeat of this entry.
func (e *Entry) heartbeat() frame.Heartbeat {
	now := e.clock.Now()
	age := now.Sub(time.Unix(0, e.lastContact.Load()))
	return frame.Heartbeat{
		Evidence:          e.evidence.Report(now, maxReportedEvidence),
		Generation:        e.rollout.Generation(),
		VMListVersion:     e.rollout.VMListVersion(),
		PlatformAgeMillis: max(age, 0).Milliseconds(),
	}
}

// recordContact records a successful contact with the platform, by any entry.
func (e *Entry) recordContact(at time.Time) {
	nano := at.UnixNano()
	for {
		current := e.lastContact.Load()
		if nano <= current || e.lastContact.CompareAndSwap(current, nano) {
			return
		}
	}
}
