package dispatch

import "slices"

// SetRegions replaces the region of each failure domain. A domain that is missing is in no
// region that a request can name.
func (s *Scheduler) SetRegions(regions map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regions = regions
	for _, v := range s.services {
		for _, e := range v.endpoints {
			s.locate(e)
		}
		s.assign(v)
	}
}

// mayRunIn reports whether the request may be sent to a region, which is empty if it is
// unknown.
func (r Request) mayRunIn(region string) bool {
	for _, list := range r.Regions {
		if len(list) > 0 && (region == "" || !slices.Contains(list, region)) {
			return false
		}
	}
	return true
}
