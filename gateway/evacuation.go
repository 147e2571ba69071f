package gateway

import (
	"damasktrail.dev/catalog"
	"damasktrail.dev/fleet"
)

// followEvacuations makes the gateway follow evacuations if the settings ask for it.
func (g *Gateway) followEvacuations() {
	if g.settings.Evacuation <= 0 {
		return
	}
	g.catalog.FollowEvacuations(g.settings.Evacuation)
	g.scheduler.SetEvacuationsCurrent(g.catalog.EvacuationsCurrent)
}

// usableEndpoints returns the endpoints that may be used. There are none until the evacuated
// failure domains are known.
func (g *Gateway) usableEndpoints(s catalog.Snapshot) fleet.List {
	g.scheduler.SetEvacuated(s.Evacuated)
	if !s.EvacuationsKnown {
		return fleet.List{}
	}
	return s.Endpoints
}
