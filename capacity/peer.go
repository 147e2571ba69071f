package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/certificate"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/member"
	"damasktrail.dev/set"
)

// peerHeartbeatInterval is the interval of heartbeats between entries.
const peerHeartbeatInterval = 2 * time.Second

const certificateLifetime = 24 * time.Hour

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

// Peer simulates the remote side of a link: it sends a hello, replies to heartbeats
// that ask for a reply and counts the frames it receives. It sends other messages
// only through the methods of [Fleet].
type Peer struct {
	vm       member.VM
	listener *link.Listener

	mu     sync.Mutex
	conn   *link.Conn
	stream *link.Stream
	// generation is the newest document generation that the peer was given or
	// received in a change.
	generation atomic.Uint64
	// received counts frames by kind, and their bytes.
	received [16]atomic.Int64
	bytes    [16]atomic.Int64
}

// Fleet is a group of peers whose certificates come from one authority.
type Fleet struct {
	authority *certificate.Authority
	clock     damasktrail.Clock
	tasks     *group.Group
	peers     []*Peer
	sent      atomic.Int64
	// vmListVersion is the version of the VM list that heartbeats of peers report.
	vmListVersion atomic.Uint64
}

// NewFleet returns a fleet without peers.
func NewFleet(a *certificate.Authority, clock damasktrail.Clock, tasks *group.Group) *Fleet {
	res := &Fleet{authority: a, clock: clock, tasks: tasks}
	res.vmListVersion.Store(1)
	return res
}

// StartEntryHeartbeats makes each peer that simulates an entry send a heartbeat every
// 2 s until cancel is called, since an entry closes a silent link to another entry.
func (f *Fleet) StartEntryHeartbeats() (cancel func()) {
	return f.clock.Subscribe(peerHeartbeatInterval, func(time.Time) {
		for i, p := range f.peers {
			if p.vm.Role == member.RoleEntry {
				beat := frame.Heartbeat{Generation: p.generation.Load(), VMListVersion: f.vmListVersion.Load(), PlatformAgeMillis: 500}
				_ = f.Send(i, frame.KindHeartbeat, beat)
			}
		}
	})
}

func newCredentials(a *certificate.Authority, role certificate.Role, name string) (*certificate.Credentials, error) {
	pair, err := a.Issue(role, name, loopback, certificateLifetime)
	if err != nil {
		return nil, err
	}
	tlsCertificate, err := pair.TLS()
	if err != nil {
		return nil, err
	}
	return certificate.New(a.Pool(), tlsCertificate)
}

// Listen adds a peer that an entry dials. It returns vm with the address that the
// peer listens on.
func (f *Fleet) Listen(vm member.VM) (res member.VM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("add peer %s: %w", vm.Name, err)
		}
	}()
	credentials, err := newCredentials(f.authority, certificate.Role(vm.Role), vm.Name)
	if err != nil {
		return vm, err
	}
	l, err := link.Listen("127.0.0.1:0", credentials.ServerConfig(set.Of(certificate.RoleEntry)))
	if err != nil {
		return vm, err
	}
	vm.Address = l.Address()
	p := &Peer{vm: vm, listener: l}
	p.generation.Store(1) // Otherwise the entry would send the whole document.
	f.peers = append(f.peers, p)
	f.tasks.Go(func(ctx context.Context) {
		for {
			conn, err := l.Accept(ctx)
			if err != nil {
				return
			}
			f.tasks.Go(func(ctx context.Context) {
				if stream, err := conn.Accept(ctx); err == nil {
					p.serve(conn, stream)
				}
			})
		}
	})
	return vm, nil
}

// Dial adds a peer that simulates an entry and dials a process of the given role.
func (f *Fleet) Dial(ctx context.Context, name string, role certificate.Role, address string) error {
	credentials, err := newCredentials(f.authority, certificate.RoleEntry, name)
	if err != nil {
		return err
	}
	d := link.NewDialer("127.0.0.1", credentials.ClientConfig(role))
	conn, err := d.Dial(ctx, address, false)
	if err != nil {
		return err
	}
	stream, err := conn.Open(ctx)
	if err != nil {
		return err
	}
	p := &Peer{vm: member.VM{Name: name, Role: member.RoleEntry}}
	if role == certificate.RoleEntry {
		p.generation.Store(1)
	}
	f.peers = append(f.peers, p)
	f.tasks.Go(func(context.Context) {
		defer d.Close()
		p.serve(conn, stream)
	})
	return nil
}

// serve runs one link until it ends.
func (p *Peer) serve(conn *link.Conn, stream *link.Stream) {
	if stream.Send(frame.KindHello, frame.Hello{Name: p.vm.Name, Incarnation: "1", Generation: p.generation.Load(), VMListVersion: 1}) != nil {
		return
	}
	p.mu.Lock()
	p.conn, p.stream = conn, stream
	p.mu.Unlock()
	for {
		raw, err := stream.Receive()
		if err != nil {
			return
		}
		p.received[raw.Kind&15].Add(1)
		p.bytes[raw.Kind&15].Add(int64(len(raw.Body)))
		if raw.Kind == frame.KindHeartbeat {
			// An entry closes its link to an agent that does not reply.
			if m, err := frame.Decode[frame.Heartbeat](raw, frame.KindHeartbeat); err == nil && m.Reply {
				reply := frame.Heartbeat{Generation: p.generation.Load()}
				reply.Load.Limit = 16
				_ = stream.Send(frame.KindHeartbeat, reply)
			}
		}
		if raw.Kind == frame.KindChange {
			if m, err := frame.Decode[frame.Change](raw, frame.KindChange); err == nil {
				p.generation.Store(max(p.generation.Load(), m.To))
			}
		}
	}
}

func (p *Peer) connection() (*link.Conn, *link.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, p.stream
}

var errNotLinked = errors.New("peer has no link")

// Send sends a control message from peer i.
func (f *Fleet) Send(i int, kind frame.Kind, body any) error {
	_, s := f.peers[i].connection()
	if s == nil {
		return errNotLinked
	}
	f.sent.Add(1)
	return s.Send(kind, body)
}

// Linked returns the number of peers with a link.
func (f *Fleet) Linked() int {
	res := 0
	for _, p := range f.peers {
		if c, _ := p.connection(); c != nil && c.Context().Err() == nil {
			res++
		}
	}
	return res
}

// AgentsBehind returns the number of peers that simulate agents and have not yet
// received the generation.
func (f *Fleet) AgentsBehind(generation uint64) int {
	res := 0
	for _, p := range f.peers {
		if p.vm.Role == member.RoleAgent && p.generation.Load() < generation {
			res++
		}
	}
	return res
}

// Received returns the number of frames of a kind that all peers received, and the
// total bytes of their bodies.
func (f *Fleet) Received(kind frame.Kind) (frames, bytes int64) {
	for _, p := range f.peers {
		frames += p.received[kind].Load()
		bytes += p.bytes[kind].Load()
	}
	return frames, bytes
}

// packetHeaderBytes is the size of the IPv4 and UDP headers of a packet.
const packetHeaderBytes = 28

// Traffic returns the bytes of all links in both directions, including IPv4 and UDP
// headers.
func (f *Fleet) Traffic() float64 {
	var res float64
	for _, p := range f.peers {
		if c, _ := p.connection(); c != nil {
			t := c.Traffic()
			res += float64(t.Bytes + packetHeaderBytes*t.Packets)
		}
	}
	return res
}

// SendPeriodically sends messages from all peers in turn, so that each peer sends one
// per interval, until cancel is called.
func (f *Fleet) SendPeriodically(interval time.Duration, message func() (frame.Kind, any)) (cancel func()) {
	start, next := f.clock.Now(), 0
	return f.clock.Subscribe(time.Millisecond, func(now time.Time) {
		due := int(float64(now.Sub(start)) / float64(interval) * float64(len(f.peers)))
		for ; next < due; next++ {
			kind, body := message()
			_ = f.Send(next%len(f.peers), kind, body)
		}
	})
}

// Close closes all listeners and links.
func (f *Fleet) Close() {
	for _, p := range f.peers {
		if c, _ := p.connection(); c != nil {
			c.Close("done")
		}
		if p.listener != nil {
			_ = p.listener.Close()
		}
	}
}
