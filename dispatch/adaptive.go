package dispatch

import "time"

// adaptive reports whether requests of the service wait, are refused and are placed by what
// endpoints state and what is measured, and not by the fixed rules.
func (v *service) adaptive(time.Time) bool { return v.adaptiveConfigured }

// SetAdaptive says whether the configuration asks for the adaptive behaviour for a service.
func (s *Scheduler) SetAdaptive(service string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service(service).adaptiveConfigured = on
}
