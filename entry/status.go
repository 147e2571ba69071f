package entry

import (
	"slices"
	"strings"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
)

// Status is the state of an entry as shown to operators.
type Status struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Members     uint64 `json:"members"`
	// ContactAgeMillis is the age of the freshest known contact with the platform.
	ContactAgeMillis int64         `json:"contact"`
	Open             int           `json:"open"`
	Agents           []AgentStatus `json:"agents"`
}

// AgentStatus is the state of one agent as this entry sees it.
type AgentStatus struct {
	Name     string           `json:"name"`
	Target   string           `json:"target"`
	State    string           `json:"state"`
	Inflight int64            `json:"inflight"`
	Load     damasktrail.Load `json:"load"`
}

// Document returns the document in force, nil before the first.
func (e *Entry) Document() *document.Document { return e.documents.Load() }

// Status returns the current state.
func (e *Entry) Status() any {
	res := Status{
		Name:             e.settings.Name,
		Incarnation:      e.incarnation,
		Generation:       e.rollout.Generation(),
		Members:          e.rollout.VMListVersion(),
		ContactAgeMillis: e.clock.Now().Sub(time.Unix(0, e.lastContact.Load())).Milliseconds(),
		Open:             e.gate.openCount(),
		Agents:           []AgentStatus{},
	}
	s := e.snapshot.Load()
	if s == nil {
		return res
	}
	for target, list := range s.targets {
		for _, r := range list {
			res.Agents = append(res.Agents, r.status(target, e.clock.Now()))
		}
	}
	slices.SortFunc(res.Agents, func(a, b AgentStatus) int { return strings.Compare(a.Name, b.Name) })
	return res
}

func (r *remoteAgent) status(target string, now time.Time) AgentStatus {
	res := AgentStatus{Name: r.vm.Name, Target: target, State: "live", Inflight: r.inflight.Load()}
	if l := r.latestLoad.Load(); l != nil {
		res.Load = l.load
	}
	switch {
	case r.liveSession(now) == nil:
		res.State = "unreachable"
	case r.reportedLeaving.Load() || r.listedLeaving.Load():
		res.State = "leaving"
	case !r.usable(now):
		res.State = "unhealthy"
	}
	return res
}
