package coordinator_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// network is a simulated fleet of entries whose datagrams take messageDelay and may
// be lost. Reports between coordinators take reportDelay.
type network struct {
	tasks *group.Group
	clock *timer.Clock
	loss  float64

	mu sync.Mutex
	// deliver says which datagrams arrive, by the names of sender and receiver; nil
	// for all.
	deliver  func(from, to string) bool
	random   *rand.Rand
	election coordinator.Election
	// horizon has the revisions below which lists are outdated.
	horizon coordinator.Revisions
	nodes   map[string]*node
	changed map[string]bool
}

// node is one entry of the network.
type node struct {
	coordinator.Member
	network   *network
	scheduler *dispatch.Scheduler
	notices   *fleet.Notices
	client    *coordinator.Client
	server    *coordinator.Server
	// down says that the entry gets and sends nothing.
	down bool
	// lists are the revisions of its lists.
	lists coordinator.Revisions
}

const (
	messageDelay = 2 * time.Millisecond
	reportDelay  = 6 * time.Millisecond
	// detectionTime is the time after which a lost entry is left out of the election.
	detectionTime = 900 * time.Millisecond
	// maxReportedLimits bounds the limits that one report carries.
	maxReportedLimits = 8
)

// newNetwork starts the members with the given endpoints.
func newNetwork(members []coordinator.Member, endpoints fleet.List, loss float64) *network {
	tasks := group.New(context.Background())
	n := &network{
		tasks: tasks, clock: timer.New(tasks), loss: loss, random: rand.New(rand.NewPCG(1, 2)),
		election: coordinator.Elect(members), nodes: map[string]*node{}, changed: map[string]bool{},
	}
	for _, m := range members {
		p := &node{Member: m, network: n}
		p.notices = fleet.NewNotices()
		p.scheduler = dispatch.New(n.clock, m.Name, m.Domain, p.notices, func(bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.changed[m.Name] = true
		})
		p.scheduler.SetFleet(dispatch.Fleet{Turns: dispatch.OwnerTurns, Assigning: n.election.Coordinators()})
		p.scheduler.SetEndpoints(endpoints)
		p.client = coordinator.NewClient(m.Name, 1, p, p.scheduler, p.notices, n.clock, quiet())
		p.newServer()
		p.client.Start()
		n.nodes[m.Name] = p
	}
	n.clock.Subscribe(reportDelay, func(time.Time) { n.report() })
	return n
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// newServer replaces the server of the entry by one that knows nothing.
func (p *node) newServer() {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	p.server = coordinator.NewServer(p.scheduler, p, p.notices, n.clock, n.tasks, quiet(), p.Send)
}

// report delivers the reports of the entries that have changed to the coordinators.
func (n *network) report() {
	n.mu.Lock()
	changed, election := n.changed, n.election
	n.changed = map[string]bool{}
	n.mu.Unlock()
	for name := range changed {
		from := n.nodes[name]
		if n.isDown(from) {
			continue
		}
		r := from.scheduler.Report()
		r.Passive = !election.IsCoordinator(name)
		for id, load := range from.client.OrphanedLoads() {
			r.Loads[id] = load
		}
		for _, to := range election.Coordinators() {
			if to != name {
				n.nodes[to].scheduler.SetPeer(name, r)
				n.nodes[to].notices.MergeLimits(from.notices.ReportLimits("", maxReportedLimits, n.clock.Now()), n.clock.Now())
			}
		}
	}
}

func (n *network) setDeliver(deliver func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliver = deliver
}

func (n *network) isDown(p *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return p.down
}

// kill makes an entry silent. The others notice it after detectionTime.
func (n *network) kill(name string) {
	n.mu.Lock()
	n.nodes[name].down = true
	n.mu.Unlock()
	n.clock.Schedule(detectionTime, func(time.Time) {
		n.mu.Lock()
		var live []coordinator.Member
		for _, p := range n.nodes {
			if !p.down {
				live = append(live, p.Member)
			}
		}
		n.election = coordinator.Elect(live)
		election := n.election
		n.mu.Unlock()
		for _, p := range n.nodes {
			p.scheduler.SetFleet(dispatch.Fleet{Turns: dispatch.OwnerTurns, Assigning: election.Coordinators()})
			p.scheduler.SetPeer(name, dispatch.Report{})
			p.server.Forget(name, 1)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for other := range n.nodes {
			n.changed[other] = true
		}
	})
}

// Candidates implements coordinator.Fleet.
func (p *node) Candidates() []string {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.election.IsEqual() {
		return nil
	}
	return p.network.election.Candidates(p.Name, p.Domain)
}

// Available implements coordinator.Fleet.
func (p *node) Available(name string) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.network.election.IsCoordinator(name)
}

// Revisions implements coordinator.Lists.
func (p *node) Revisions() coordinator.Revisions {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.lists
}

// Outdated implements coordinator.Fleet.
func (p *node) Outdated(lists coordinator.Revisions) bool {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return lists.Endpoints < p.network.horizon.Endpoints || lists.Evacuations < p.network.horizon.Evacuations
}

// unknownLists are lists that are not known up to any revision.
type unknownLists struct{}

// Revisions implements coordinator.Lists.
func (unknownLists) Revisions() (res coordinator.Revisions) { return res }

// Alive implements coordinator.Fleet.
func (p *node) Alive(name string) bool { return p.Available(name) }

// Send implements coordinator.Fleet.
func (p *node) Send(name string, datagram []byte) {
	n := p.network
	n.mu.Lock()
	to := n.nodes[name]
	lost := p.down || to == nil || n.random.Float64() < n.loss || n.deliver != nil && !n.deliver(p.Name, name)
	n.mu.Unlock()
	if lost {
		return
	}
	n.clock.Schedule(messageDelay, func(time.Time) {
		n.mu.Lock()
		server, down := to.server, to.down
		n.mu.Unlock()
		if !down {
			_ = coordinator.Receive(to.client, server, p.Name, datagram)
		}
	})
}

// close ends the network.
func (n *network) close() { n.tasks.Close() }

// engine runs requests in its slots and queues more in order of arrival.
type engine struct {
	slots chan struct{}
	// slowdown multiplies the time that requests take.
	slowdown float64
}

// load is a simulated load on the fleet of the large site: portfolio assessments,
// appeal summaries and booth notes.
type load struct {
	domains, entriesPerDomain, engines int
	requestsPerSecond                  float64
	duration                           time.Duration
	loss                               float64
	// killAt is the time at which the first coordinator is lost; zero for never.
	killAt time.Duration
	// limited is the number of engines that name a limit in each answer, limit their limit
	// in requests a second.
	limited int
	limit   float64
}

// outcomes counts what callers get and what engines see.
type outcomes struct {
	asked, inTime, refused [3]int
	// late has the requests that were answered after their objective, returned those
	// that came back after a refusal.
	late, returned  [3]int
	sent, foundFull int
	// maxOver is the largest number of requests at one engine beyond its slots, and
	// overSince the time of the last one.
	maxOver  int
	lastOver time.Duration
	// limitedArrivals has the times of the requests to engines with a limit, by engine.
	limitedArrivals map[string][]time.Duration
	// left is the number of slots that are still counted when all requests have
	// ended.
	left int
}

const (
	slotsPerEngine = 4
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 10 * time.Second
)

// kinds are the requests of the large site by tier: share, objective, time in a slot
// of a fast engine.
var kinds = [3]struct {
	share           float64
	objective, hold time.Duration
}{
	{0.36, time.Second, 600 * time.Millisecond},
	{0.25, 800 * time.Millisecond, 300 * time.Millisecond},
	{0.39, 600 * time.Millisecond, 700 * time.Millisecond},
}

// play plays the load in virtual time.
func (l load) play(t *testing.T) (res outcomes) {
	t.Helper()
	res.limitedArrivals = map[string][]time.Duration{}
	synctest.Test(t, func(*testing.T) {
		engines := map[string]*engine{}
		list := fleet.List{}
		for i := range l.engines {
			e := fleet.Endpoint{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Domain: domainName(i % l.domains), Slots: slotsPerEngine}
			list = list.With(e)
			// Every third engine takes four times as long as the others.
			engines[e.ID] = &engine{slots: make(chan struct{}, slotsPerEngine), slowdown: []float64{0.7, 0.7, 3}[i/l.domains%3]}
		}
		m := members(l.domains, l.entriesPerDomain)
		n := newNetwork(m, list, l.loss)
		begin := time.Now()
		if l.killAt > 0 {
			n.clock.Schedule(l.killAt, func(time.Time) { n.kill(m[0].Name) })
		}
		var mu sync.Mutex
		atEngine := map[string]int{}
		requests := group.New(context.Background())
		random := rand.New(rand.NewPCG(3, 4))
		for time.Since(begin) < l.duration {
			time.Sleep(time.Duration(random.ExpFloat64() / l.requestsPerSecond * float64(time.Second)))
			tier, x := 0, random.Float64()
			for tier < 2 && x >= kinds[tier].share {
				x -= kinds[tier].share
				tier++
			}
			p := n.nodes[m[random.IntN(len(m))].Name]
			if n.isDown(p) {
				continue
			}
			length := 0.3 + random.ExpFloat64()*0.7
			requests.Go(func(ctx context.Context) {
				start := time.Now()
				s, refused := p.acquire(ctx, tier, start)
				returned := refused != nil
				if returned {
					// Callers come back once, at the latest after a third of their time.
					time.Sleep(min(refused.RetryAfter, callerTimeout/3))
					s, refused = p.acquire(ctx, tier, start)
				}
				mu.Lock()
				res.asked[tier]++
				if returned {
					res.returned[tier]++
				}
				if refused != nil {
					res.refused[tier]++
					mu.Unlock()
					return
				}
				e := engines[s.Endpoint.ID]
				if slices.Index(l.limitedEngines(list), s.Endpoint.ID) >= 0 {
					res.limitedArrivals[s.Endpoint.ID] = append(res.limitedArrivals[s.Endpoint.ID], time.Since(begin))
					p.notices.Add(s.Endpoint, fleet.Notice{Limit: fleet.Limit{Kind: fleet.Limited, PerSecond: l.limit}}, start, time.Now())
				}
				atEngine[s.Endpoint.ID]++
				res.sent++
				if over := atEngine[s.Endpoint.ID] - slotsPerEngine; over > 0 {
					res.foundFull++
					res.maxOver = max(res.maxOver, over)
					res.lastOver = time.Since(begin)
				}
				mu.Unlock()
				e.slots <- struct{}{}
				time.Sleep(time.Duration(e.slowdown * float64(100*time.Millisecond)))
				s.Started(fleet.StatedLoad{})
				mu.Lock()
				if time.Since(start) <= kinds[tier].objective {
					res.inTime[tier]++
				} else {
					res.late[tier]++
				}
				mu.Unlock()
				time.Sleep(time.Duration(length * e.slowdown * float64(kinds[tier].hold)))
				<-e.slots
				mu.Lock()
				atEngine[s.Endpoint.ID]--
				mu.Unlock()
				s.Done(dispatch.Answered, time.Duration(e.slowdown*float64(13*time.Millisecond)))
			})
		}
		requests.Wait()
		time.Sleep(3 * time.Second)
		for _, p := range n.nodes {
			if !n.isDown(p) {
				for _, h := range p.scheduler.Report().Loads {
					res.left += h.Requests
				}
			}
		}
		n.close()
	})
	return res
}

// limitedEngines returns the IDs of the engines that name a limit.
func (l load) limitedEngines(list fleet.List) (res []string) {
	for _, e := range list.All()[:l.limited] {
		res = append(res, e.ID)
	}
	return res
}

// acquire asks for a slot for a request that its caller first sent at start.
func (p *node) acquire(ctx context.Context, tier int, start time.Time) (*coordinator.Slot, *damasktrail.Refusal) {
	return p.client.Acquire(ctx, dispatch.Request{
		Service: "llm", Engine: true, Organisation: "o", Tier: tier, Objective: kinds[tier].objective, Timeout: callerTimeout - time.Since(start), Prompt: 2000,
	})
}

func domainName(i int) string { return fmt.Sprint("d", i) }
