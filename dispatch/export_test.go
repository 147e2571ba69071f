package dispatch

// DisableRampUp switches the ramp-up of endpoints off, for comparison.
func (s *Scheduler) DisableRampUp() { s.rampUpOff = true }
