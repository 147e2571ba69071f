package dispatch

import "time"

// statedRetention is how long after an endpoint has last stated how long its work takes its
// service is treated as adaptive.
const statedRetention = time.Minute

// maxAdaptiveEndpoints bounds the endpoints of an adaptive service, since each choice by expected
// times looks at all of them. With 3,000 endpoints the busiest coordinator used three quarters of
// its processor and two requests in five were refused; 1,000 were served.
const maxAdaptiveEndpoints = 1024

// adaptive reports whether requests of the service are placed and admitted by expected
// times: its configuration asks for it, or an endpoint has lately stated how long its work
// takes. All other services, and those with more than maxAdaptiveEndpoints endpoints, are
// served as before.
func (v *service) adaptive(now time.Time) bool {
	if len(v.endpoints) > maxAdaptiveEndpoints {
		return false
	}
	return v.adaptiveSet || v.settings.ColdPerSecond > 0 || !v.statedAt.IsZero() && now.Sub(v.statedAt) < statedRetention
}

// SetAdaptive sets whether the configuration asks for the adaptive mode of a service.
func (s *Scheduler) SetAdaptive(service string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(service).adaptiveSet = on
}
