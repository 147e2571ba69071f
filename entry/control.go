package entry

import (
	"context"
	"maps"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/member"
	"damasktrail.dev/policy"
	"damasktrail.dev/set"
	"damasktrail.dev/suspect"
)

const (
	// floorLife is how long a floor holds after it was raised or heard of.
	floorLife = 5 * time.Second
	// guestLife is how long an agent outside the subset stays connected after a
	// ticket of its was used here.
	guestLife = 5 * time.Minute
	// peersNear and peersFar are the entries to keep links with, in the region
	// and outside of it.
	peersNear = 2
	peersFar  = 2
)

// snapshot is what traffic goroutines decide on. It is immutable; the agents in
// it change by themselves.
type snapshot struct {
	document *document.Document
	// targets maps what callers name to the agents of the subset.
	targets map[string][]*remote
	// agents maps VM names to agents, guests included.
	agents map[string]*remote
	// floors maps a target to the lowest tier rank that is admitted.
	floors map[string]int
	// poisoned holds the fingerprints to refuse.
	poisoned map[uint64]struct{}
	policy   damasktrail.Policy
}

type floor struct {
	rank  int
	until time.Time
}

// control is the state that one goroutine owns.
type control struct {
	e        *Entry
	agents   map[string]*remote
	guests   map[string]time.Time
	peers    map[string]*peer
	floors   map[string]floor
	suspects *suspect.List
	policy   damasktrail.Policy
	// chosen is the name of policy in the document.
	chosen string
	linked linked
	// changed is true when the snapshot lacks a change of this state.
	changed bool
	// announced is the generation that was last sent to peers.
	announced uint64
}

func newControl(e *Entry) *control {
	return &control{
		e:        e,
		agents:   map[string]*remote{},
		guests:   map[string]time.Time{},
		peers:    map[string]*peer{},
		floors:   map[string]floor{},
		suspects: suspect.New(),
	}
}

// post hands an event to the control goroutine.
func (e *Entry) post(f func(c *control)) {
	select {
	case e.events <- f:
	case <-e.tasks.Context().Done():
	}
}

// runControl is the control goroutine.
func (e *Entry) runControl(ctx context.Context) {
	c := newControl(e)
	for {
		documents, members := e.documents.Changed(), e.members.Changed()
		// Before each wait and not only after a change: when an event is ready
		// together with a change, select may take the event, and the next channel
		// is that of a later change.
		c.announce()
		c.refresh(e.clock.Now())
		select {
		case f := <-e.events:
			f(c)
		case <-documents:
		case <-members:
		case <-ctx.Done():
			return
		}
	}
}

// refresh makes links and the snapshot fit the values in force.
func (c *control) refresh(now time.Time) {
	d, l := c.e.documents.Load(), c.e.members.Load()
	if d == nil {
		return
	}
	c.expire(now)
	if l != nil && c.choose(d, l) {
		c.relink(d, l)
	}
	if s := c.e.snapshot.Load(); c.changed || s == nil || s.document != d {
		c.publish(d)
		c.changed = false
	}
}

// linked is what the links were made for.
type linked struct {
	document *document.Document
	// list is the newest list for which the links would be the same.
	list *member.List
	// choices has the agents of each target of the document.
	choices map[string]member.Choice
	// lingering is true while a link is kept only for open requests, or its agent
	// leaves; such links are looked at with every list.
	lingering bool
	// dirty asks for new links although neither value changed.
	dirty bool
}

// choose brings the choice of agents up to date and reports whether links may
// have to change. Most changes of the VM list are of agents that this entry has
// nothing to do with, so agents are chosen anew only for the targets concerned.
func (c *control) choose(d *document.Document, l *member.List) bool {
	k := &c.linked
	relink, all := k.dirty, d != k.document || k.list == nil
	only := set.Set[string]{}
	if !all && l != k.list {
		relink = relink || k.lingering
		for _, o := range member.Compare(k.list, l).Operations {
			_, guest := c.guests[o.Name]
			relink = relink || guest
			for _, version := range []*member.List{k.list, l} {
				if vm, found := version.VM(o.Name); found {
					home := regionOf(d, vm.Domain) == regionOf(d, c.e.self(version).Domain)
					// An entry of any region can be a peer.
					relink = relink || vm.Role == member.RoleEntry
					all = all || vm.Role == member.RoleEntry && home
					if t := targetOf(d, vm); home || k.choices[t].Remote {
						only.Add(t)
					}
				}
			}
		}
	}
	k.document, k.list, k.dirty = d, l, false
	switch self := c.e.self(l); {
	case all:
		k.choices = member.Choose(self, l, d, c.e.settings.Subset, nil)
		return true
	case len(only) > 0:
		for t, choice := range member.Choose(self, l, d, c.e.settings.Subset, only) {
			relink = relink || !choice.Equal(k.choices[t])
			k.choices[t] = choice
		}
	}
	return relink
}

func (c *control) expire(now time.Time) {
	for t, f := range c.floors {
		if now.After(f.until) {
			delete(c.floors, t)
			c.changed = true
		}
	}
	for name, until := range c.guests {
		if now.After(until) {
			delete(c.guests, name)
			c.linked.dirty = true
		}
	}
	if c.suspects.Expire(now) {
		c.changed = true
	}
}

// relink starts and stops links to agents and peers.
func (c *control) relink(d *document.Document, l *member.List) {
	c.changed, c.linked.lingering = true, false
	self := c.e.self(l)
	wanted := map[string]member.VM{}
	for _, choice := range c.linked.choices {
		for _, vm := range choice.Agents {
			wanted[vm.Name] = vm
		}
	}
	for name := range c.guests {
		if vm, found := l.VM(name); found && vm.Role == member.RoleAgent {
			wanted[name] = vm
		}
	}
	for name, r := range c.agents {
		vm, found := l.VM(name)
		_, keep := wanted[name]
		switch {
		case found && vm.Address == r.vm.Address && (keep || r.inflight.Load() > 0):
			c.linked.lingering = c.linked.lingering || !keep || vm.State == member.StateLeaving
			// A leaving agent keeps its link while answers are on the way.
			r.listed.Store(vm.State == member.StateLeaving)
			if r.listed.Load() {
				c.tellLeaving(r)
			}
		case !found && r.inflight.Load() > 0:
			// The list lags and can lack a VM that still answers.
			c.linked.lingering = true
			r.listed.Store(true)
		default:
			r.stop()
			delete(c.agents, name)
		}
	}
	for name, vm := range wanted {
		if _, found := c.agents[name]; !found {
			c.startAgent(d, vm)
		}
	}
	place := member.Places(self, l, d, pushRanks)
	for _, r := range c.agents {
		r.target = targetOf(d, r.vm)
		r.rank = place(r.vm)
	}
	c.relinkPeers(l, d, self)
}

// tellLeaving passes the VM list's word on to an agent that has not been told
// by a signal.
func (c *control) tellLeaving(r *remote) {
	if s := r.session.Load(); s != nil {
		b := c.e.beat()
		b.Leaving = true
		s.send(frame.KindBeat, b)
	}
}

func (c *control) startAgent(d *document.Document, vm member.VM) {
	ctx, stop := context.WithCancel(c.e.tasks.Context())
	r := &remote{vm: vm, target: targetOf(d, vm), stop: stop}
	c.agents[vm.Name] = r
	c.e.tasks.Go(func(context.Context) { c.e.maintainLink(ctx, r) })
}

// targetOf returns what callers name to reach the agent; empty when callers
// cannot. Endpoints that only prefill or only decode answer no whole request.
func targetOf(d *document.Document, vm member.VM) string {
	s, found := d.Set(vm.Set)
	if !found || s.Role == document.RolePrefill || s.Role == document.RoleDecode {
		return ""
	}
	return s.Target()
}

// rankOf returns the place of name, or the length of the list.
func rankOf(list []member.VM, name string) int {
	for i, vm := range list {
		if vm.Name == name {
			return i
		}
	}
	return len(list)
}

// publish replaces the snapshot.
func (c *control) publish(d *document.Document) {
	s := &snapshot{
		document: d,
		targets:  map[string][]*remote{},
		agents:   maps.Clone(c.agents),
		floors:   make(map[string]int, len(c.floors)),
		poisoned: map[uint64]struct{}{},
	}
	for _, r := range c.agents {
		if r.target != "" {
			s.targets[r.target] = append(s.targets[r.target], r)
		}
	}
	for t, f := range c.floors {
		s.floors[t] = f.rank
	}
	for _, f := range c.suspects.Report(c.e.clock.Now()) {
		if len(f.Crashes) >= suspect.Poisoned {
			s.poisoned[f.Fingerprint] = struct{}{}
		}
	}
	if c.chosen != d.Policy || c.policy == nil {
		p, err := policy.New(d.Policy, uint64(c.e.clock.Now().UnixNano()))
		if err != nil {
			c.e.log.Error("policy not usable", "policy", d.Policy, "error", err)
		} else {
			c.policy, c.chosen = p, d.Policy
		}
	}
	s.policy = c.policy
	c.e.learned.retain(s.targets)
	c.e.snapshot.Store(s)
}

// merge takes suspects and floors from agents and peers and passes news on.
func (c *control) merge(suspects []frame.Suspect, floors []frame.Floor, now time.Time) {
	news := c.suspects.Merge(suspects, now)
	var raised []frame.Floor
	for _, f := range floors {
		if c.raise(f, now) {
			raised = append(raised, f)
		}
	}
	if len(news) > 0 || len(raised) > 0 {
		c.changed = true
		c.broadcast(news, raised)
	}
}

// raise sets a floor and reports whether it is higher than the one that holds.
func (c *control) raise(f frame.Floor, now time.Time) bool {
	held, found := c.floors[f.Model]
	if found && held.rank <= f.Tier {
		return false
	}
	c.floors[f.Model] = floor{rank: f.Tier, until: now.Add(floorLife)}
	c.e.metrics.Count("floors_raised", 1)
	return true
}

// broadcast sends news to all peers and agents.
func (c *control) broadcast(suspects []frame.Suspect, floors []frame.Floor) {
	b := c.e.beat()
	b.Suspects, b.Floors = suspects, floors
	for _, p := range c.peers {
		if s := p.session.Load(); s != nil {
			s.send(frame.KindBeat, b)
		}
	}
	for _, r := range c.agents {
		if s := r.session.Load(); s != nil {
			s.send(frame.KindBeat, b)
		}
	}
}
