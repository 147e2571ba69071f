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

// settleTime is the time in which a started process completes its one-time work:
// handshakes, the first document and the first relinking.
const settleTime = 1500 * time.Millisecond

// changeInterval is the pause between two changes. It is longer than the 25 ms by
// which QUIC delays acknowledgements, so that each change has its own.
const changeInterval = 60 * time.Millisecond

// waitTimeout limits a run of load, and each wait for a link or for a state of a
// process.
const waitTimeout = 10 * time.Second

// Testbed is one real process with peers on all its links.
type Testbed struct {
	*Site
	Fleet   *Fleet
	Program Program
	size    Size
	// document is the latest document that was published or sent, listVersion the
	// current version of the VM list.
	document    *document.Document
	listVersion uint64
	// running are the VMs of the list that a process or a peer stands for; it is empty
	// when the process is an agent. listSize is the length of the list.
	running  []member.VM
	listSize int
	// LinkSetup is the time from the start of an entry until it has all the links that
	// it dials, and their traffic until then.
	LinkSetup struct {
		Time  time.Duration
		Bytes float64
	}
	cancels []func()
}

// Cost is the resources that the measured process used for an action.
type Cost struct {
	// CPU is the processor time, Bytes the traffic of all links in both directions.
	CPU   time.Duration
	Bytes float64
}

// EntryTestbed starts an entry with links to the given number of agents and a list of
// listSize VMs. If the list has more VMs than these, the entry also has links with
// eight entries: it dials two and six dial it.
func (s *Site) EntryTestbed(size Size, agents, listSize int) (res *Testbed, err error) {
	gossip, err := freeAddress("udp")
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry-%d-%d-%d", size.Organisations, agents, listSize)
	self := member.VM{Name: name, Role: member.RoleEntry, Address: gossip, Domain: HomeDomain}
	res = &Testbed{Site: s, Fleet: NewFleet(s.authority, s.clock, s.tasks), size: size, document: size.Document(1), listVersion: 1, running: []member.VM{self}, listSize: listSize}
	for i := range agents {
		vm, err := res.Fleet.Listen(member.VM{
			Name: fmt.Sprintf("home-%03d", i), Role: member.RoleAgent, Domain: domainName(i % 3 * Regions), Set: setName(i % size.Models),
		})
		if err != nil {
			return nil, err
		}
		res.running = append(res.running, vm)
	}
	if listSize > len(res.running) {
		if err := res.listenRemoteEntries(name); err != nil {
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
	if err := res.waitUntil(func() bool { return res.Fleet.Linked() == len(res.Fleet.peers) }); err != nil {
		return nil, err
	}
	res.LinkSetup.Time, res.LinkSetup.Bytes = s.clock.Now().Sub(start), res.Fleet.Traffic()
	if listSize > len(res.running) {
		ctx, cancel := context.WithTimeout(s.tasks.Context(), waitTimeout)
		defer cancel()
		for i := range 6 {
			if err := res.Fleet.Dial(ctx, fmt.Sprintf("dialler-%d", i), certificate.RoleEntry, gossip); err != nil {
				return nil, err
			}
		}
		res.cancels = append(res.cancels, res.Fleet.StartEntryHeartbeats())
	}
	return res, s.clock.Sleep(s.tasks.Context(), settleTime)
}

// listenRemoteEntries adds listening peers for the two entries of other regions that
// the entry dials, those of the highest rank.
func (s *Testbed) listenRemoteEntries(name string) error {
	var remote []member.VM
	for _, vm := range ListWith(1, s.listSize, s.running...).VMs {
		if vm.Role == member.RoleEntry && vm.Name != name {
			remote = append(remote, *vm)
		}
	}
	slices.SortFunc(remote, func(a, b member.VM) int {
		if member.Rank(name, a.Name) > member.Rank(name, b.Name) {
			return -1
		}
		return 1
	})
	for _, vm := range remote[:min(2, len(remote))] {
		vm, err := s.Fleet.Listen(vm)
		if err != nil {
			return err
		}
		s.running = append(s.running, vm)
	}
	return nil
}

// AgentTestbed starts an agent with links from the given number of entries.
func (s *Site) AgentTestbed(size Size, entries int) (res *Testbed, err error) {
	address, err := freeAddress("udp")
	if err != nil {
		return nil, err
	}
	endpoint := standin.NewEndpoint(standin.EndpointOptions{Clock: s.clock})
	server := httptest.NewServer(endpoint.Handler())
	s.closers = append(s.closers, server.Close, endpoint.Close)
	self := member.VM{
		Name: fmt.Sprintf("agent-%d-%d", size.Organisations, entries), Role: member.RoleAgent, Address: address,
		Domain: HomeDomain, Set: setName(0),
	}
	res = &Testbed{Site: s, Fleet: NewFleet(s.authority, s.clock, s.tasks), size: size, document: size.Document(1)}
	if res.Program, err = s.Agent(self, server.Listener.Addr().String()); err != nil {
		return nil, err
	}
	// The agent is not ready without a document, but /healthz succeeds at once.
	if err := s.Ready(res.Program.Admin, "/healthz"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.tasks.Context(), waitTimeout)
	defer cancel()
	for i := range entries {
		if err := res.Fleet.Dial(ctx, fmt.Sprintf("entry-%03d", i), certificate.RoleAgent, address); err != nil {
			return nil, err
		}
	}
	if err := res.waitUntil(func() bool { return res.Fleet.Linked() == entries }); err != nil {
		return nil, err
	}
	whole := frame.Whole{Topic: frame.TopicDocument, Data: res.document.Encode()}
	if err := res.Fleet.Send(0, frame.KindWhole, whole); err != nil {
		return nil, err
	}
	if err := s.Ready(res.Program.Admin, "/readyz"); err != nil {
		return nil, err
	}
	return res, s.clock.Sleep(s.tasks.Context(), settleTime)
}

func (s *Testbed) publishDocument() error {
	return s.platform.PublishDocument(s.document.Encode())
}

func (s *Testbed) publishList() error {
	return s.platform.PublishVMs(s.list().Encode())
}

// list returns the VM list of the current version. Versions differ in one VM that has
// no link.
func (s *Testbed) list() *member.List {
	others := ListWith(s.listVersion, s.listSize, s.running...)
	if s.listVersion == 1 {
		return others
	}
	extra := member.VM{
		Name: fmt.Sprintf("replaced-%d", s.listVersion), Role: member.RoleAgent, Address: "10.255.0.1:8090",
		Domain: domainName(1), Set: setName(0),
	}
	return ListWith(s.listVersion, s.listSize, append(s.running, extra)...)
}

// waitUntil waits until reached returns true, for at most [waitTimeout].
func (s *Testbed) waitUntil(reached func() bool) error {
	ctx, cancel := context.WithTimeout(s.tasks.Context(), waitTimeout)
	defer cancel()
	for !reached() {
		if err := s.clock.Sleep(ctx, time.Millisecond); err != nil {
			return fmt.Errorf("program at %s did not reach the expected state: %w; log: %s", s.Program.Address, err, s.Program.Log())
		}
	}
	return nil
}

// Measure returns the cost of the process and its links while action runs.
func (s *Testbed) Measure(action func() error) (res Cost, err error) {
	before, err := s.Program.CPU()
	if err != nil {
		return res, err
	}
	bytes := s.Fleet.Traffic()
	if err := action(); err != nil {
		return res, err
	}
	after, err := s.Program.CPU()
	return Cost{CPU: after - before, Bytes: s.Fleet.Traffic() - bytes}, err
}

// Idle measures the process for the time d, in which peers send it no more than the
// heartbeats of [Fleet.StartEntryHeartbeats] and replies to its own.
func (s *Testbed) Idle(d time.Duration) (Cost, error) {
	return s.Measure(func() error { return s.clock.Sleep(s.tasks.Context(), d) })
}

// Heartbeats measures heartbeats at the given total rate per second, spread over all
// links, and returns the number sent. If reply is set, they ask for a reply.
func (s *Testbed) Heartbeats(rate float64, d time.Duration, reply bool) (res Cost, sent int64, err error) {
	interval := time.Duration(float64(len(s.Fleet.peers)) / rate * float64(time.Second))
	beat := s.BusyHeartbeat()
	beat.Reply = reply
	start := s.Fleet.sent.Load()
	res, err = s.Measure(func() error {
		cancel := s.Fleet.SendPeriodically(interval, func() (frame.Kind, any) { return frame.KindHeartbeat, beat })
		defer cancel()
		return s.clock.Sleep(s.tasks.Context(), d)
	})
	return res, s.Fleet.sent.Load() - start, err
}

// BusyHeartbeat returns a heartbeat of the size that a busy agent sends.
func (s *Testbed) BusyHeartbeat() frame.Heartbeat {
	res := frame.Heartbeat{Generation: s.document.Generation}
	res.Load.Running, res.Load.Waiting, res.Load.Lowest, res.Load.Limit = 16, 20, 2, 16
	res.Load.Prefill, res.Load.Decode = 40_000, 9_000
	res.Load.PrefillRate, res.Load.DecodeRate = 8123.5, 1234.5
	return res
}

// PublishDocuments publishes n documents on the platform, one after the other, and
// returns the longest time from publication until all agents of the entry had the
// document.
func (s *Testbed) PublishDocuments(n int) (res Cost, slowest time.Duration, err error) {
	documents := make([]*document.Document, n)
	for i := range documents {
		documents[i] = s.size.Document(s.document.Generation + uint64(i) + 1)
	}
	res, err = s.Measure(func() error {
		for _, d := range documents {
			s.document = d
			start := s.clock.Now()
			if err := errors.Join(s.publishDocument(), s.waitUntil(s.adopted)); err != nil {
				return err
			}
			slowest = max(slowest, s.clock.Now().Sub(start)-changeInterval)
		}
		return nil
	})
	return res, slowest, err
}

// Push brings n documents into force by differences that the last peer sends, each of
// the given number of operations, and returns the size of the last one in bytes.
func (s *Testbed) Push(n, operations int) (res Cost, size int, err error) {
	changes, next := make([]frame.Change, n), make([]*document.Document, n)
	from := s.document
	for i := range changes {
		to := s.size.changedDocument(from.Generation+1, operations)
		data, err := document.EncodeDifference(document.Compare(from, to))
		if err != nil {
			return res, 0, err
		}
		size = len(data)
		changes[i] = frame.Change{Topic: frame.TopicDocument, From: from.Generation, To: to.Generation, Differences: [][]byte{data}}
		next[i], from = to, to
	}
	res, err = s.Measure(func() error {
		for i, c := range changes {
			s.document = next[i]
			sender := len(s.Fleet.peers) - 1
			// An entry does not send a change back to its sender.
			s.Fleet.peers[sender].generation.Store(c.To)
			if err := s.Fleet.Send(sender, frame.KindChange, c); err != nil {
				return err
			}
			if err := s.waitUntil(s.adopted); err != nil {
				return err
			}
		}
		return nil
	})
	return res, size, err
}

// Pull makes each agent of an entry ask for the latest difference n times.
func (s *Testbed) Pull(n int) (Cost, error) {
	pull := frame.Pull{Topic: frame.TopicDocument, From: s.document.Generation - 1}
	return s.Measure(func() error {
		for range n {
			for i := range s.Fleet.peers {
				if err := s.Fleet.Send(i, frame.KindPull, pull); err != nil {
					return err
				}
			}
			if err := s.clock.Sleep(s.tasks.Context(), changeInterval); err != nil {
				return err
			}
		}
		return nil
	})
}

// adopted reports whether an entry has sent the current generation to all its agents,
// which is not checked for an agent. It then waits for changeInterval, in which the
// process becomes idle.
func (s *Testbed) adopted() bool {
	if len(s.running) > 0 && s.Fleet.AgentsBehind(s.document.Generation) > 0 {
		return false
	}
	return s.clock.Sleep(s.tasks.Context(), changeInterval) == nil
}

// PublishLists publishes n VM lists on the platform, 1.5 s apart, the time that the
// entry needs to read one from there.
func (s *Testbed) PublishLists(n int) (Cost, error) {
	return s.Measure(func() error {
		for range n {
			s.listVersion++
			s.Fleet.vmListVersion.Store(s.listVersion)
			if err := s.publishList(); err != nil {
				return err
			}
			if err := s.clock.Sleep(s.tasks.Context(), settleTime); err != nil {
				return err
			}
		}
		return nil
	})
}

// Stop ends the process and its peers.
func (s *Testbed) Stop() {
	for _, f := range s.cancels {
		f()
	}
	s.Program.Stop()
	s.Fleet.Close()
}
