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
	// floorTTL is how long a floor holds after it was raised here or received.
	floorTTL = 5 * time.Second
	// ticketAgentTTL is how long an agent outside the subset stays connected after
	// one of its tickets was used here.
	ticketAgentTTL = 5 * time.Minute
	// sameRegionPeers and otherRegionPeers are the numbers of entries to keep
	// links with in this entry's region and in other regions.
	sameRegionPeers  = 2
	otherRegionPeers = 2
)

// snapshot is the state that requests are scheduled on. It is immutable, but
// the agents it refers to are updated concurrently.
type snapshot struct {
	document *document.Document
	// targets maps a target to its agents in the subset.
	targets map[string][]*remoteAgent
	// agents maps VM names to agents, including agents connected for tickets.
	agents map[string]*remoteAgent
	// floors maps a target to the lowest tier rank that is admitted.
	floors map[string]int
	// poisoned holds the fingerprints of requests to refuse because they crash
	// endpoints.
	poisoned map[uint64]struct{}
	policy   damasktrail.Policy
}

type floor struct {
	rank    int
	expires time.Time
}

// control is the state owned by the control goroutine.
type control struct {
	e            *Entry
	agents       map[string]*remoteAgent
	ticketAgents map[string]time.Time
	peers        map[string]*peer
	floors       map[string]floor
	suspects     *suspect.List
	policy       damasktrail.Policy
	// policyName is the name of policy in the document.
	policyName string
	linkInputs linkInputs
	// snapshotStale is true if the snapshot lacks a change of this state.
	snapshotStale bool
	// announced is the generation that was last sent to peers.
	announced uint64
}

func newControl(e *Entry) *control {
	return &control{
		e:            e,
		agents:       map[string]*remoteAgent{},
		ticketAgents: map[string]time.Time{},
		peers:        map[string]*peer{},
		floors:       map[string]floor{},
		suspects:     suspect.New(),
	}
}

// post sends an event to the control goroutine.
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
		// Both run before each wait, not only after a change: when an event and a
		// change are ready together, select may take the event, and the channel
		// fetched next signals only later changes.
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

// refresh updates the links and the snapshot to the document and VM list in
// force.
func (c *control) refresh(now time.Time) {
	d, l := c.e.documents.Load(), c.e.members.Load()
	if d == nil {
		return
	}
	c.expire(now)
	if l != nil && c.updateChoices(d, l) {
		c.relink(d, l)
	}
	if s := c.e.snapshot.Load(); c.snapshotStale || s == nil || s.document != d {
		c.publish(d)
		c.snapshotStale = false
	}
}

// linkInputs holds the values that the current links were derived from.
type linkInputs struct {
	document *document.Document
	// list is the newest list that leads to the same links.
	list *member.List
	// choices holds the agents chosen for each target of the document.
	choices map[string]member.TargetSubset
	// lingering is true while a link is kept only for open requests or its agent
	// is leaving; such links are checked again with every list.
	lingering bool
	// dirty requests a relink although neither document nor list changed.
	dirty bool
}

// updateChoices updates the choice of agents and reports whether links may have
// to change. Most changes of the VM list concern agents that are irrelevant to
// this entry, so agents are chosen again only for the affected targets.
func (c *control) updateChoices(d *document.Document, l *member.List) bool {
	inputs := &c.linkInputs
	relink, all := inputs.dirty, d != inputs.document || inputs.list == nil
	affected := set.Set[string]{}
	if !all && l != inputs.list {
		relink = relink || inputs.lingering
		for _, o := range member.Compare(inputs.list, l).Operations {
			_, isTicketAgent := c.ticketAgents[o.Name]
			relink = relink || isTicketAgent
			for _, version := range []*member.List{inputs.list, l} {
				if vm, found := version.VM(o.Name); found {
					sameRegion := regionOf(d, vm.Domain) == regionOf(d, c.e.self(version).Domain)
					// An entry of any region can be a peer.
					relink = relink || vm.Role == member.RoleEntry
					all = all || vm.Role == member.RoleEntry && sameRegion
					if t := targetOf(d, vm); sameRegion || inputs.choices[t].Remote {
						affected.Add(t)
					}
				}
			}
		}
	}
	inputs.document, inputs.list, inputs.dirty = d, l, false
	switch self := c.e.self(l); {
	case all:
		inputs.choices = member.SubsetByTarget(self, l, d, c.e.settings.Subset, nil)
		return true
	case len(affected) > 0:
		for t, choice := range member.SubsetByTarget(self, l, d, c.e.settings.Subset, affected) {
			relink = relink || !choice.Equal(inputs.choices[t])
			inputs.choices[t] = choice
		}
	}
	return relink
}

func (c *control) expire(now time.Time) {
	for t, f := range c.floors {
		if now.After(f.expires) {
			delete(c.floors, t)
			c.snapshotStale = true
		}
	}
	for name, until := range c.ticketAgents {
		if now.After(until) {
			delete(c.ticketAgents, name)
			c.linkInputs.dirty = true
		}
	}
	c.e.evidence.Expire(now)
	if c.suspects.Expire(now) {
		c.snapshotStale = true
	}
}

// relink starts and stops links to agents and peers.
func (c *control) relink(d *document.Document, l *member.List) {
	c.snapshotStale, c.linkInputs.lingering = true, false
	self := c.e.self(l)
	wanted := map[string]member.VM{}
	for _, choice := range c.linkInputs.choices {
		for _, vm := range choice.Agents {
			wanted[vm.Name] = vm
		}
	}
	for name := range c.ticketAgents {
		if vm, found := l.VM(name); found && vm.Role == member.RoleAgent {
			wanted[name] = vm
		}
	}
	for name, r := range c.agents {
		vm, found := l.VM(name)
		_, keep := wanted[name]
		switch {
		case found && vm.Address == r.vm.Address && (keep || r.inflight.Load() > 0):
			c.linkInputs.lingering = c.linkInputs.lingering || !keep || vm.State == member.StateLeaving
			// A leaving agent keeps its link until its open requests have ended.
			r.listedLeaving.Store(vm.State == member.StateLeaving)
			if r.listedLeaving.Load() {
				c.sendLeaving(r)
			}
		case !found && r.inflight.Load() > 0:
			// The list lags and can lack a VM that still answers.
			c.linkInputs.lingering = true
			r.listedLeaving.Store(true)
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
	rankOf := member.EntryPositions(self, l, d, pushRanks)
	for _, r := range c.agents {
		r.target = targetOf(d, r.vm)
		r.rank = rankOf(r.vm)
	}
	c.relinkPeers(l, d, self)
}

// sendLeaving tells an agent that the VM list shows it as leaving, in case no
// signal has told it.
func (c *control) sendLeaving(r *remoteAgent) {
	if s := r.session.Load(); s != nil {
		b := c.e.heartbeat()
		b.Leaving = true
		s.send(frame.KindHeartbeat, b)
	}
}

func (c *control) startAgent(d *document.Document, vm member.VM) {
	ctx, stop := context.WithCancel(c.e.tasks.Context())
	r := &remoteAgent{vm: vm, target: targetOf(d, vm), stop: stop}
	c.agents[vm.Name] = r
	c.e.tasks.Go(func(context.Context) { c.e.maintainLink(ctx, r) })
}

// targetOf returns the target that the agent serves to callers, empty when it
// serves none: endpoints that only prefill or only decode answer no whole
// request.
func targetOf(d *document.Document, vm member.VM) string {
	s, found := d.Set(vm.Set)
	if !found || s.Role == document.RolePrefill || s.Role == document.RoleDecode {
		return ""
	}
	return s.Target()
}

// indexOf returns the index of the VM with the given name, or the length of the
// list.
func indexOf(list []member.VM, name string) int {
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
		targets:  map[string][]*remoteAgent{},
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
		if len(f.Crashes) >= suspect.PoisonThreshold {
			s.poisoned[f.Fingerprint] = struct{}{}
		}
	}
	if c.policyName != d.Policy || c.policy == nil {
		p, err := policy.New(d.Policy, uint64(c.e.clock.Now().UnixNano()))
		if err != nil {
			c.e.log.Error("policy cannot be created", "policy", d.Policy, "error", err)
		} else {
			c.policy, c.policyName = p, d.Policy
		}
	}
	s.policy = c.policy
	c.e.stats.retain(s.targets)
	c.e.snapshot.Store(s)
}

// merge adds suspects and floors received from agents and peers, and broadcasts
// those that are new.
func (c *control) merge(suspects []frame.Suspect, floors []frame.Floor, now time.Time) {
	newSuspects := c.suspects.Merge(suspects, now)
	var raised []frame.Floor
	for _, f := range floors {
		if c.raiseFloor(f, now) {
			raised = append(raised, f)
		}
	}
	if len(newSuspects) > 0 || len(raised) > 0 {
		c.snapshotStale = true
		c.broadcast(newSuspects, raised)
	}
}

// raiseFloor sets a floor and reports whether it is stricter than the current
// one.
func (c *control) raiseFloor(f frame.Floor, now time.Time) bool {
	current, found := c.floors[f.Model]
	if found && current.rank <= f.Tier {
		return false
	}
	c.floors[f.Model] = floor{rank: f.Tier, expires: now.Add(floorTTL)}
	c.e.metrics.Count("floors_raised", 1)
	return true
}

// broadcastEvidence tells all peers of the crashes that this entry knows of.
func (c *control) broadcastEvidence() {
	b := c.e.heartbeat()
	for _, p := range c.peers {
		if s := p.session.Load(); s != nil {
			s.send(frame.KindHeartbeat, b)
		}
	}
}

// broadcast sends suspects and floors to all peers and agents.
func (c *control) broadcast(suspects []frame.Suspect, floors []frame.Floor) {
	b := c.e.heartbeat()
	b.Suspects, b.Floors = suspects, floors
	for _, p := range c.peers {
		if s := p.session.Load(); s != nil {
			s.send(frame.KindHeartbeat, b)
		}
	}
	for _, r := range c.agents {
		if s := r.session.Load(); s != nil {
			s.send(frame.KindHeartbeat, b)
		}
	}
}
