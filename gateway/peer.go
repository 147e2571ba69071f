package gateway

import (
	"time"

	"damasktrail.dev/catalog"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/exchange"
)

// slotFleet tells the client of slots which coordinators there are.
type slotFleet struct{ g *Gateway }

var _ coordinator.Fleet = slotFleet{}

// Candidates implements coordinator.Fleet. In a small fleet this entry decides
// itself.
func (f slotFleet) Candidates() []string {
	e := f.g.exchange.Election()
	if e.IsEqual() {
		return nil
	}
	return e.Candidates(f.g.settings.Name, f.g.settings.Domain)
}

// Available implements coordinator.Fleet.
func (f slotFleet) Available(name string) bool {
	return f.g.exchange.Election().IsCoordinator(name) && f.g.exchange.Available(name)
}

// Alive implements coordinator.Fleet.
func (f slotFleet) Alive(name string) bool { return f.g.exchange.Alive(name) }

// Outdated implements coordinator.Fleet.
func (f slotFleet) Outdated(lists coordinator.Revisions) bool {
	return f.g.catalog.Outdated(lists.Endpoints, lists.Evacuations)
}

// Send implements coordinator.Fleet.
func (f slotFleet) Send(name string, datagram []byte) { f.g.exchange.Send(name, datagram) }

// slotLists tells the server of slots how new the lists of the catalog are.
type slotLists struct{ g *Gateway }

var _ coordinator.Lists = slotLists{}

// Revisions implements coordinator.Lists.
func (l slotLists) Revisions() (res coordinator.Revisions) {
	if !l.g.catalog.EndpointsSettled() {
		return res
	}
	return coordinator.Revisions{Endpoints: l.g.catalog.EndpointsRevision(), Evacuations: l.g.catalog.EvacuationsRevision()}
}

// catalogFleet tells the catalog what part this gateway has in its fleet.
type catalogFleet struct{ g *Gateway }

var _ catalog.Fleet = catalogFleet{}

// Rank implements catalog.Fleet. Coordinators come first.
func (f catalogFleet) Rank() int { return f.g.exchange.Election().Rank(f.g.settings.Name) }

// Follows implements catalog.Fleet. A gateway follows the directory unless another
// one grants it slots and it has granted none itself.
func (f catalogFleet) Follows() bool {
	g := f.g
	fleet := slotFleet(f)
	for _, name := range fleet.Candidates() {
		if name == g.settings.Name {
			return true
		}
		if fleet.Available(name) {
			return g.scheduler.Busy()
		}
	}
	return true
}

// Alone implements catalog.Fleet.
func (f catalogFleet) Alone() bool { return !f.g.exchange.HasPeers() }

// exchangeHandler connects the exchange with the components of the gateway.
type exchangeHandler struct{ g *Gateway }

var _ exchange.Handler = exchangeHandler{}

// State implements exchange.Handler.
func (h exchangeHandler) State() exchange.State {
	g := h.g
	res := exchange.State{Dispatch: g.scheduler.Report(), Leaving: g.drainStart.Load() != nil}
	for id, orphaned := range g.slots.OrphanedLoads() {
		load := res.Dispatch.Loads[id]
		load.Requests += orphaned.Requests
		load.Prompt += orphaned.Prompt
		res.Dispatch.Loads[id] = load
	}
	if t := g.catalog.Snapshot().Table; t != nil {
		res.Table = t.Version
	}
	res.Endpoints, res.Ineligible = g.catalog.EndpointsChanged(), g.catalog.EndpointsStale()
	res.Evacuations = g.catalog.EvacuationsChanged()
	res.Ineligible = res.Ineligible || !g.catalog.EvacuationsSettled()
	return res
}

// Summary implements exchange.Handler.
func (h exchangeHandler) Summary(evidence, endpoints int) exchange.Summary {
	g := h.g
	now := g.clock.Now()
	loads := g.scheduler.ReportLoads(endpoints / 2)
	return exchange.Summary{
		Usage: g.quotas.Usage(), Evidence: g.evidence.Report(now, evidence),
		Limits: g.notices.ReportLimits("", endpoints-len(loads), now), Loads: loads,
	}
}

// ReceiveState implements exchange.Handler.
func (h exchangeHandler) ReceiveState(peer exchange.Peer, s exchange.State) {
	g := h.g
	g.catalog.Hint(s.Table)
	g.catalog.HintEndpoints(s.Endpoints)
	g.catalog.HintEvacuations(s.Evacuations)
	// A peer that sends no loads has none for this entry; those of an earlier report,
	// from when the fleet was small, are old.
	s.Dispatch.Passive = !g.exchange.Election().IsCoordinator(peer.Name)
	g.scheduler.SetPeer(peer.Name, s.Dispatch)
}

// ReceiveSummary implements exchange.Handler.
func (h exchangeHandler) ReceiveSummary(peer exchange.Peer, s exchange.Summary) {
	g := h.g
	now := g.clock.Now()
	g.quotas.SetPeerUsage(peer.String(), s.Usage, now)
	g.evidence.Merge(s.Evidence, now)
	g.notices.MergeLimits(s.Limits, now)
	g.scheduler.MergeLoads(s.Loads)
}

// ReceiveDatagram implements exchange.Handler.
func (h exchangeHandler) ReceiveDatagram(peer exchange.Peer, datagram []byte) {
	if err := coordinator.Receive(h.g.slots, h.g.slotServer, peer.Name, datagram); err != nil {
		h.g.log.Warn("message about a slot cannot be decoded", "peer", peer.Name, "error", err)
	}
}

// Confirmed implements exchange.Handler.
func (h exchangeHandler) Confirmed() (table uint64, age time.Duration) {
	return h.g.catalog.Confirmed()
}

// Confirm implements exchange.Handler.
func (h exchangeHandler) Confirm(table uint64, at time.Duration) { h.g.catalog.Confirm(table, at) }

// PeerSilent implements exchange.Handler.
func (h exchangeHandler) PeerSilent(peer exchange.Peer) {
	h.g.scheduler.SetPeer(peer.Name, dispatch.Report{})
	h.g.slotServer.Forget(peer.Name, peer.Boot)
}

// ForgetPeer implements exchange.Handler.
func (h exchangeHandler) ForgetPeer(peer exchange.Peer) {
	h.g.scheduler.SetPeer(peer.Name, dispatch.Report{})
	h.g.slotServer.Forget(peer.Name, peer.Boot)
	h.g.quotas.RemovePeer(peer.String())
}

// PeersChanged implements exchange.Handler.
func (h exchangeHandler) PeersChanged() {
	g := h.g
	g.scheduler.SetFleet(g.fleet())
	entries := g.entryCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.retryShares {
		s.SetEntries(entries)
	}
}

// fleet returns what the scheduler needs to know of the other gateways. In a small fleet all
// gateways assign requests, whether they could be coordinators or not.
func (g *Gateway) fleet() dispatch.Fleet {
	election := g.exchange.Election()
	if !election.IsEqual() {
		return dispatch.Fleet{Turns: dispatch.OwnerTurns, Assigning: election.Coordinators(), Live: g.exchange.Peers()}
	}
	res := dispatch.Fleet{Turns: dispatch.EqualTurns, Assigning: g.exchange.LivePeers(), Live: g.exchange.Peers()}
	if g.drainStart.Load() == nil {
		res.Assigning = append(res.Assigning, g.settings.Name)
	}
	return res
}
