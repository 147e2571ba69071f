package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"time"

	"damasktrail.dev/certificate"
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/member"
	"damasktrail.dev/standin"
)

// settle is the time after which a started process has done what it does only
// once: handshakes, the first document, the first relinking.
const settle = 1500 * time.Millisecond

// pause is the time between two changes. It is longer than the 25 ms by which
// QUIC delays acknowledgements, so that each change has its own.
const pause = 60 * time.Millisecond

// limit bounds the wait for a state of a process.
const limit = 10 * time.Second

// Stage is one real process with peers on all its links.
type Stage struct {
	*Site
	Fleet   *Fleet
	Program Program
	size    Size
	// document is that published or sent last, version that of the list.
	document *document.Document
	version  uint64
	// home are the VMs that run, total the length of the list.
	home  []member.VM
	total int
	// NewLinks is the time from the start of an entry until it has all its links
	// to agents, and the bytes of these.
	NewLinks struct {
		Time  time.Duration
		Bytes float64
	}
	stops []func()
}

// Cost is what an action took in the process measured.
type Cost struct {
	// CPU is processor time, Bytes those on the wire in both directions.
	CPU   time.Duration
	Bytes float64
}

// EntryStage starts an entry with links to agents, on a list of total VMs.
// Where the list has other entries, it also gets links to and from eight of them.
func (s *Site) EntryStage(size Size, agents, total int) (res *Stage, err error) {
	gossip, err := free("udp")
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry-%d-%d-%d", size.Organisations, agents, total)
	self := member.VM{Name: name, Role: member.RoleEntry, Address: gossip, Domain: HomeDomain}
	res = &Stage{Site: s, Fleet: NewFleet(s.authority, s.clock, s.tasks), size: size, document: size.Document(1), version: 1, home: []member.VM{self}, total: total}
	for i := range agents {
		vm, err := res.Fleet.Listen(member.VM{
			Name: fmt.Sprintf("home-%03d", i), Role: member.RoleAgent, Domain: domainName(i % 3 * Regions), Set: setName(i % size.Models),
		})
		if err != nil {
			return nil, err
		}
		res.home = append(res.home, vm)
	}
	if total > len(res.home) {
		if err := res.listenPeers(name); err != nil {
			return nil, err
		}
	}
	if err := errors.Join(res.publishDocument(), res.publishList()); err != nil {
		return nil, err
	}
	start := s.clock.Now()
	if res.Program, err = s.Entry(self); err != nil {
		return nil, err
	}
	if err := res.await(func() bool { return res.Fleet.Linked() == len(res.Fleet.peers) }); err != nil {
		return nil, err
	}
	res.NewLinks.Time, res.NewLinks.Bytes = s.clock.Now().Sub(start), res.Fleet.Traffic()
	if total > len(res.home) {
		ctx, cancel := context.WithTimeout(s.tasks.Context(), limit)
		defer cancel()
		for i := range 6 {
			if err := res.Fleet.Dial(ctx, fmt.Sprintf("dialler-%d", i), certificate.RoleEntry, gossip); err != nil {
				return nil, err
			}
		}
		res.stops = append(res.stops, res.Fleet.Gossip())
	}
	return res, s.clock.Sleep(s.tasks.Context(), settle)
}

// listenPeers puts listeners in the place of the two entries of other regions
// that the entry dials.
func (s *Stage) listenPeers(name string) error {
	var far []member.VM
	for _, vm := range Surround(1, s.total, s.home...).VMs {
		if vm.Role == member.RoleEntry && vm.Name != name {
			far = append(far, *vm)
		}
	}
	slices.SortFunc(far, func(a, b member.VM) int {
		if member.Rank(name, a.Name) > member.Rank(name, b.Name) {
			return -1
		}
		return 1
	})
	for _, vm := range far[:min(2, len(far))] {
		vm, err := s.Fleet.Listen(vm)
		if err != nil {
			return err
		}
		s.home = append(s.home, vm)
	}
	return nil
}

// AgentStage starts an agent with links from entries.
func (s *Site) AgentStage(size Size, entries int) (res *Stage, err error) {
	at, err := free("udp")
	if err != nil {
		return nil, err
	}
	endpoint := standin.NewEndpoint(standin.EndpointOptions{Clock: s.clock})
	server := httptest.NewServer(endpoint.Handler())
	s.closers = append(s.closers, server.Close, endpoint.Close)
	self := member.VM{
		Name: fmt.Sprintf("agent-%d-%d", size.Organisations, entries), Role: member.RoleAgent, Address: at,
		Domain: HomeDomain, Set: setName(0),
	}
	res = &Stage{Site: s, Fleet: NewFleet(s.authority, s.clock, s.tasks), size: size, document: size.Document(1)}
	if res.Program, err = s.Agent(self, server.Listener.Addr().String()); err != nil {
		return nil, err
	}
	// Without a document the agent is not ready; it answers on the path at once.
	if err := s.Ready(res.Program.Admin, "/healthz"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.tasks.Context(), limit)
	defer cancel()
	for i := range entries {
		if err := res.Fleet.Dial(ctx, fmt.Sprintf("entry-%03d", i), certificate.RoleAgent, at); err != nil {
			return nil, err
		}
	}
	if err := res.await(func() bool { return res.Fleet.Linked() == entries }); err != nil {
		return nil, err
	}
	whole := frame.Whole{Topic: frame.TopicDocument, Data: res.document.Encode()}
	if err := res.Fleet.Send(0, frame.KindWhole, whole); err != nil {
		return nil, err
	}
	if err := s.Ready(res.Program.Admin, "/readyz"); err != nil {
		return nil, err
	}
	return res, s.clock.Sleep(s.tasks.Context(), settle)
}

func (s *Stage) publishDocument() error {
	return s.platform.PublishDocument(s.document.Encode())
}

func (s *Stage) publishList() error {
	return s.platform.PublishVMs(s.list().Encode())
}

// list returns the VM list of the current version. Versions differ in a VM that
// is not linked.
func (s *Stage) list() *member.List {
	others := Surround(s.version, s.total, s.home...)
	if s.version == 1 {
		return others
	}
	gone := member.VM{
		Name: fmt.Sprintf("replaced-%d", s.version), Role: member.RoleAgent, Address: "10.255.0.1:8090",
		Domain: domainName(1), Set: setName(0),
	}
	return Surround(s.version, s.total, append(s.home, gone)...)
}

// await waits until a state is reached.
func (s *Stage) await(reached func() bool) error {
	ctx, cancel := context.WithTimeout(s.tasks.Context(), limit)
	defer cancel()
	for !reached() {
		if err := s.clock.Sleep(ctx, time.Millisecond); err != nil {
			return fmt.Errorf("%s: %w; log: %s", s.Program.Address, err, s.Program.Log())
		}
	}
	return nil
}

// During returns what the process and its links take while do runs.
func (s *Stage) During(do func() error) (res Cost, err error) {
	before, err := s.Program.CPU()
	if err != nil {
		return res, err
	}
	bytes := s.Fleet.Traffic()
	if err := do(); err != nil {
		return res, err
	}
	after, err := s.Program.CPU()
	return Cost{CPU: after - before, Bytes: s.Fleet.Traffic() - bytes}, err
}

// Idle measures the process for a time in which it is sent nothing.
func (s *Stage) Idle(d time.Duration) (Cost, error) {
	return s.During(func() error { return s.clock.Sleep(s.tasks.Context(), d) })
}

// Beats measures heartbeats at the given rate per second over all links. It
// returns how many were sent.
func (s *Stage) Beats(rate float64, d time.Duration, reply bool) (res Cost, sent int64, err error) {
	interval := time.Duration(float64(len(s.Fleet.peers)) / rate * float64(time.Second))
	beat := s.Beat()
	beat.Reply = reply
	start := s.Fleet.sent.Load()
	res, err = s.During(func() error {
		cancel := s.Fleet.Beat(interval, func() (frame.Kind, any) { return frame.KindBeat, beat })
		defer cancel()
		return s.clock.Sleep(s.tasks.Context(), d)
	})
	return res, s.Fleet.sent.Load() - start, err
}

// Beat returns a heartbeat with the size of a busy agent's.
func (s *Stage) Beat() frame.Beat {
	res := frame.Beat{Generation: s.document.Generation}
	res.Load.Running, res.Load.Waiting, res.Load.Lowest, res.Load.Limit = 16, 20, 2, 16
	res.Load.Prefill, res.Load.Decode = 40_000, 9_000
	res.Load.PrefillRate, res.Load.DecodeRate = 8123.5, 1234.5
	return res
}

// Publish brings n documents into force through the platform, one after the
// other, and returns the slowest way from there to all agents of the entry.
func (s *Stage) Publish(n int) (res Cost, slowest time.Duration, err error) {
	next := make([]*document.Document, n)
	for i := range next {
		next[i] = s.size.Document(s.document.Generation + uint64(i) + 1)
	}
	res, err = s.During(func() error {
		for _, d := range next {
			s.document = d
			start := s.clock.Now()
			if err := errors.Join(s.publishDocument(), s.await(s.adopted)); err != nil {
				return err
			}
			slowest = max(slowest, s.clock.Now().Sub(start)-pause)
		}
		return nil
	})
	return res, slowest, err
}

// Push brings n documents into force by differences from the last peer, each of
// the given number of operations, and returns the bytes of the last of them.
func (s *Stage) Push(n, operations int) (res Cost, size int, err error) {
	changes, next := make([]frame.Change, n), make([]*document.Document, n)
	from := s.document
	for i := range changes {
		to := s.size.changed(from.Generation+1, operations)
		data, err := document.EncodeDifference(document.Compare(from, to))
		if err != nil {
			return res, 0, err
		}
		size = len(data)
		changes[i] = frame.Change{Topic: frame.TopicDocument, From: from.Generation, To: to.Generation, Differences: [][]byte{data}}
		next[i], from = to, to
	}
	res, err = s.During(func() error {
		for i, c := range changes {
			s.document = next[i]
			sender := len(s.Fleet.peers) - 1
			// An entry does not send the change back.
			s.Fleet.peers[sender].generation.Store(c.To)
			if err := s.Fleet.Send(sender, frame.KindChange, c); err != nil {
				return err
			}
			if err := s.await(s.adopted); err != nil {
				return err
			}
		}
		return nil
	})
	return res, size, err
}

// Pull makes each agent of an entry ask for the latest difference n times.
func (s *Stage) Pull(n int) (Cost, error) {
	pull := frame.Pull{Topic: frame.TopicDocument, From: s.document.Generation - 1}
	return s.During(func() error {
		for range n {
			for i := range s.Fleet.peers {
				if err := s.Fleet.Send(i, frame.KindPull, pull); err != nil {
					return err
				}
			}
			if err := s.clock.Sleep(s.tasks.Context(), pause); err != nil {
				return err
			}
		}
		return nil
	})
}

// adopted reports whether the process has the current generation: an entry has
// sent it to all its agents. It then waits until the process rests.
func (s *Stage) adopted() bool {
	if len(s.home) > 0 && s.Fleet.Behind(s.document.Generation) > 0 {
		return false
	}
	return s.clock.Sleep(s.tasks.Context(), pause) == nil
}

// Lists brings n VM lists into force through the platform, a second and a half
// apart, which the read of the platform needs.
func (s *Stage) Lists(n int) (Cost, error) {
	return s.During(func() error {
		for range n {
			s.version++
			s.Fleet.members.Store(s.version)
			if err := s.publishList(); err != nil {
				return err
			}
			if err := s.clock.Sleep(s.tasks.Context(), settle); err != nil {
				return err
			}
		}
		return nil
	})
}

// Stop ends the process and its peers.
func (s *Stage) Stop() {
	for _, f := range s.stops {
		f()
	}
	s.Program.Stop()
	s.Fleet.Close()
}
