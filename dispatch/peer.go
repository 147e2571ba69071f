package dispatch

import "slices"

// Load is the load of one entry on an endpoint.
type Load struct {
	// Requests is the number of in-flight requests.
	Requests int
	// Prompt is the number of prompt tokens of requests without a first byte.
	Prompt int
}

// Report is the state that an entry sends to its peers. It must not be modified.
type Report struct {
	// Domain is the failure domain of the entry.
	Domain string
	// Loads has the load of the entry on each endpoint, by endpoint ID.
	Loads map[string]Load
	// Waiting is the number of waiting requests by service and tier.
	Waiting map[string]map[int]int
	// Unreachable has the IDs of endpoints that the entry cannot connect to.
	Unreachable []string
	// Passive says that the entry holds slots but takes none itself, since another
	// entry grants them to it.
	Passive bool
	// Suspects has the IDs of endpoints that may have been restarted, according to attempts
	// of the entry.
	Suspects []string
}

// SetPeer replaces the report of one peer. An empty report removes the peer.
func (s *Scheduler) SetPeer(name string, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	empty := len(r.Loads)+len(r.Waiting)+len(r.Unreachable)+len(r.Suspects) == 0
	if _, found := s.peers[name]; empty && !found {
		return
	}
	for id, h := range s.peers[name].Loads {
		s.addPeerLoad(id, Load{Requests: -h.Requests, Prompt: -h.Prompt})
	}
	for id, h := range r.Loads {
		s.addPeerLoad(id, h)
	}
	s.suspectReported(s.peers[name].Suspects, r.Suspects)
	s.backOffUnreachable(s.peers[name].Unreachable, r.Unreachable)
	if empty {
		delete(s.peers, name)
	} else {
		s.peers[name] = r
	}
	for _, v := range s.services {
		s.assign(v)
	}
}

// backOffUnreachable pauses requests to endpoints that a peer newly reports as
// unreachable. It handles a crash: a crashed endpoint has no load, and looks like
// the best choice to each entry that has not tried it. When the peer itself is cut
// off, the endpoint is paused only once, and the next request to it ends the pause.
func (s *Scheduler) backOffUnreachable(before, now []string) {
	for _, id := range now {
		if slices.Contains(before, id) {
			continue
		}
		for _, v := range s.services {
			if e := v.endpoints[id]; e != nil && e.failures == 0 {
				e.backOff(s.clock.Now())
			}
		}
	}
}

// addPeerLoad adds to the sum of the peers' loads on an endpoint.
func (s *Scheduler) addPeerLoad(id string, h Load) {
	sum := s.peerLoads[id]
	sum.Requests += h.Requests
	sum.Prompt += h.Prompt
	if sum == (Load{}) {
		delete(s.peerLoads, id)
		return
	}
	s.peerLoads[id] = sum
}

// Report returns the report of this entry for its peers.
func (s *Scheduler) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := Report{Domain: s.domain, Loads: map[string]Load{}, Waiting: map[string]map[int]int{}}
	for name, v := range s.services {
		for id, e := range v.endpoints {
			if h := e.load(); h.Requests > 0 {
				res.Loads[id] = h
			}
			e.reportSuspicions(&res)
			if e.unreachable {
				res.Unreachable = append(res.Unreachable, id)
			}
		}
		v.waiting.EachTier(func(rank, count int) {
			if count -= v.passed[rank]; count <= 0 {
				return
			}
			if res.Waiting[name] == nil {
				res.Waiting[name] = map[int]int{}
			}
			res.Waiting[name][rank] = count
		})
	}
	return res
}
