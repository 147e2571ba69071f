package dispatch

// DisableRampUp sets whether the ramp-up of endpoints is off, for comparison.
func (s *Scheduler) DisableRampUp(off bool) { s.rampUpOff = off }
