package gateway

import (
	"errors"

	"damasktrail.dev"
	"damasktrail.dev/telemetry"
)

// measureWaiting publishes the numbers of requests that wait for a slot at this gateway.
func (g *Gateway) measureWaiting() error {
	return errors.Join(
		g.metrics.Gauge("waiting_in_time", "Requests that wait for a slot here and can still meet their objective.", func() float64 {
			inTime, _ := g.scheduler.Waiting()
			return float64(inTime)
		}),
		g.metrics.Gauge("waiting_overdue", "Requests that wait for a slot here and can no longer meet their objective.", func() float64 {
			_, overdue := g.scheduler.Waiting()
			return float64(overdue)
		}),
	)
}

// measureRefusal records when a request was refused that has not run, as a part of its objective.
func (c *call) measureRefusal(r *damasktrail.Refusal) {
	if r.Outcome != damasktrail.NotRun || c.route.Objective <= 0 {
		return
	}
	age := c.g.clock.Now().Sub(c.arrived)
	c.g.metrics.Ratio("refusal_time", telemetry.Class{Tier: c.tier, Kind: c.route.Kind.String()}, age.Seconds()/c.route.Objective.Seconds())
}
