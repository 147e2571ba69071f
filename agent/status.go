package agent

import "damasktrail.dev"

// Status is the state of an agent that operators see.
type Status struct {
	Name        string           `json:"name"`
	Set         string           `json:"set"`
	Incarnation string           `json:"incarnation"`
	Generation  uint64           `json:"generation"`
	Leaving     bool             `json:"leaving"`
	Load        damasktrail.Load `json:"load"`
}

// Status returns the current state.
func (a *Agent) Status() any {
	return Status{
		Name:        a.settings.Name,
		Set:         a.settings.Set,
		Incarnation: a.incarnation,
		Generation:  a.rollout.Generation(),
		Leaving:     a.leaving.Load(),
		Load:        *a.latestLoad.Load(),
	}
}
