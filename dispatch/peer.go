package dispatch

import "slices"

// Hold is what endpoints hold for one entry.
type Hold struct {
	// Requests is the number of requests there.
	Requests int
	// Prompt is the number of prompt tokens of those without a first byte.
	Prompt int
}

// Report is what an entry tells its peers. It must not be changed.
type Report struct {
	// Domain is the failure domain of the entry.
	Domain string
	// Holds is what its endpoints hold for it, by ID.
	Holds map[string]Hold
	// Waiting is the number of waiting requests by service and tier.
	Waiting map[string]map[int]int
	// Down has the IDs of endpoints that take no connections from it.
	Down []string
}

// SetPeer replaces what one peer reports. An empty report is that of a peer that
// is gone.
func (s *Scheduler) SetPeer(name string, r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.peers[name].Holds {
		s.addOthers(id, Hold{Requests: -h.Requests, Prompt: -h.Prompt})
	}
	for id, h := range r.Holds {
		s.addOthers(id, h)
	}
	s.learnDown(s.peers[name].Down, r.Down)
	if len(r.Holds)+len(r.Waiting)+len(r.Down) == 0 {
		delete(s.peers, name)
	} else {
		s.peers[name] = r
	}
	for _, v := range s.services {
		s.place(v)
	}
}

// learnDown pauses endpoints that a peer could not reach any more. It answers a
// crash: the endpoint then holds nothing, and looks like the best choice to each
// entry that has not tried it. A peer that is cut off itself says so once, and the
// next request to the endpoint ends the pause.
func (s *Scheduler) learnDown(before, now []string) {
	for _, id := range now {
		if slices.Contains(before, id) {
			continue
		}
		for _, v := range s.services {
			if e := v.endpoints[id]; e != nil && e.failures == 0 {
				e.pause(s.clock.Now())
			}
		}
	}
}

// addOthers adds to what an endpoint holds for peers.
func (s *Scheduler) addOthers(id string, h Hold) {
	sum := s.others[id]
	sum.Requests += h.Requests
	sum.Prompt += h.Prompt
	if sum == (Hold{}) {
		delete(s.others, id)
		return
	}
	s.others[id] = sum
}

// Report returns what peers should know.
func (s *Scheduler) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	res := Report{Domain: s.domain, Holds: map[string]Hold{}, Waiting: map[string]map[int]int{}}
	for name, v := range s.services {
		for id, e := range v.endpoints {
			if h := e.held(); h.Requests > 0 {
				res.Holds[id] = h
			}
			if e.down {
				res.Down = append(res.Down, id)
			}
		}
		v.waiting.EachTier(func(rank, count int) {
			if res.Waiting[name] == nil {
				res.Waiting[name] = map[int]int{}
			}
			res.Waiting[name][rank] = count
		})
	}
	return res
}
