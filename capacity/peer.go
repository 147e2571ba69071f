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

// peerBeat is the interval of heartbeats between entries.
const peerBeat = 2 * time.Second

// life is that of certificates.
const life = 24 * time.Hour

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

// Peer stands for the other side of a link: it answers the hello and a beat that
// asks for one, records what it is sent, and else sends only what it is told to.
type Peer struct {
	vm       member.VM
	listener *link.Listener

	mu     sync.Mutex
	conn   *link.Conn
	stream *link.Stream
	// generation is the newest that a change or whole document brought.
	generation atomic.Uint64
	// received counts frames by kind, and their bytes.
	received [16]atomic.Int64
	bytes    [16]atomic.Int64
}

// Fleet is a number of peers with one authority.
type Fleet struct {
	authority *certificate.Authority
	clock     damasktrail.Clock
	tasks     *group.Group
	peers     []*Peer
	sent      atomic.Int64
	// members is the version of the VM list that peers say they have.
	members atomic.Uint64
}

// NewFleet returns a fleet without peers. Those that stand for entries send a
// heartbeat every 2 s, since another entry drops a link that is silent.
func NewFleet(a *certificate.Authority, clock damasktrail.Clock, tasks *group.Group) *Fleet {
	res := &Fleet{authority: a, clock: clock, tasks: tasks}
	res.members.Store(1)
	return res
}

// Gossip starts the heartbeats of the peers that stand for entries.
func (f *Fleet) Gossip() (cancel func()) {
	return f.clock.Subscribe(peerBeat, func(time.Time) {
		for i, p := range f.peers {
			if p.vm.Role == member.RoleEntry {
				beat := frame.Beat{Generation: p.generation.Load(), Members: f.members.Load(), Age: 500}
				_ = f.Send(i, frame.KindBeat, beat)
			}
		}
	})
}

func files(a *certificate.Authority, role certificate.Role, name string) (*certificate.Files, error) {
	pair, err := a.Issue(role, name, loopback, life)
	if err != nil {
		return nil, err
	}
	own, err := pair.TLS()
	if err != nil {
		return nil, err
	}
	return certificate.New(a.Pool(), own)
}

// Listen adds a peer that an entry dials. The address of vm is replaced by the
// bound one.
func (f *Fleet) Listen(vm member.VM) (res member.VM, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("add peer %s: %w", vm.Name, err)
		}
	}()
	own, err := files(f.authority, certificate.Role(vm.Role), vm.Name)
	if err != nil {
		return vm, err
	}
	l, err := link.Listen("127.0.0.1:0", own.ServerConfig(set.Of(certificate.RoleEntry)))
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

// Dial adds a peer that dials a process of the given role as an entry does.
func (f *Fleet) Dial(ctx context.Context, name string, role certificate.Role, address string) error {
	own, err := files(f.authority, certificate.RoleEntry, name)
	if err != nil {
		return err
	}
	d := link.NewDialer("127.0.0.1", own.ClientConfig(role))
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
	if stream.Send(frame.KindHello, frame.Hello{Name: p.vm.Name, Incarnation: "1", Generation: p.generation.Load(), Members: 1}) != nil {
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
		if raw.Kind == frame.KindBeat {
			// An entry closes a link to an agent that does not answer.
			if m, err := frame.Decode[frame.Beat](raw, frame.KindBeat); err == nil && m.Reply {
				answer := frame.Beat{Generation: p.generation.Load()}
				answer.Load.Limit = 16
				_ = stream.Send(frame.KindBeat, answer)
			}
		}
		if raw.Kind == frame.KindChange {
			if m, err := frame.Decode[frame.Change](raw, frame.KindChange); err == nil {
				p.generation.Store(max(p.generation.Load(), m.To))
			}
		}
	}
}

func (p *Peer) live() (*link.Conn, *link.Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, p.stream
}

var errNotLinked = errors.New("peer has no link")

// Send sends a control message from peer i.
func (f *Fleet) Send(i int, kind frame.Kind, body any) error {
	_, s := f.peers[i].live()
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
		if c, _ := p.live(); c != nil && c.Context().Err() == nil {
			res++
		}
	}
	return res
}

// Behind returns the number of agents that were not sent the generation.
func (f *Fleet) Behind(generation uint64) int {
	res := 0
	for _, p := range f.peers {
		if p.vm.Role == member.RoleAgent && p.generation.Load() < generation {
			res++
		}
	}
	return res
}

// Received returns the frames of a kind that all peers received, and the bytes
// of their bodies.
func (f *Fleet) Received(kind frame.Kind) (frames, bytes int64) {
	for _, p := range f.peers {
		frames += p.received[kind].Load()
		bytes += p.bytes[kind].Load()
	}
	return frames, bytes
}

// headers are the bytes of IP version 4 and UDP in each packet.
const headers = 28

// Traffic returns the bytes of all links in both directions, with headers.
func (f *Fleet) Traffic() float64 {
	var res float64
	for _, p := range f.peers {
		if c, _ := p.live(); c != nil {
			t := c.Traffic()
			res += float64(t.Bytes + headers*t.Packets)
		}
	}
	return res
}

// Beat sends a message of make from one peer after the other, so that each sends
// one per interval, until cancel is called.
func (f *Fleet) Beat(interval time.Duration, message func() (frame.Kind, any)) (cancel func()) {
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
		if c, _ := p.live(); c != nil {
			c.Close("done")
		}
		if p.listener != nil {
			_ = p.listener.Close()
		}
	}
}
