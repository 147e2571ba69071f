package agent

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
)

const (
	// orderInterval is that of repeated orders. An endpoint that ignores fences
	// can be changed by a late order of a dead agent; repeating repairs it.
	orderInterval = 10 * time.Second
	orderTimeout  = 5 * time.Second
)

// orderOf returns the order that a document gives to the endpoints of a set.
func orderOf(d *document.Document, set string) (damasktrail.Order, bool) {
	s, found := d.Set(set)
	if !found || s.Kind != document.KindEngine {
		return damasktrail.Order{}, false
	}
	return damasktrail.Order{
		Fence:    d.Generation,
		Model:    s.Model,
		Version:  s.Version,
		Adapters: s.Adapters,
		Role:     s.Role,
	}, true
}

// settled reports whether the document may be acted on. A new agent may first
// hear of an older generation from an entry that lags. An endpoint that checks
// fences refuses its order; for one that does not, the agent waits until each
// entry has sent a heartbeat.
func (a *Agent) settled(d *document.Document) bool {
	s, found := d.Set(a.settings.Set)
	return found && (s.Fencing || a.clock.Now().Sub(a.started) > beatInterval+orderTimeout)
}

// order gives the endpoint the order of the document in force. Orders are sent
// by one goroutine at a time, so an older one never follows a newer one.
func (a *Agent) order() {
	a.ordering.Lock()
	defer a.ordering.Unlock()
	d := a.documents.Load()
	if d == nil {
		return
	}
	o, found := orderOf(d, a.settings.Set)
	if !found || !a.settled(d) {
		return
	}
	ctx, cancel := context.WithTimeout(a.tasks.Context(), orderTimeout)
	defer cancel()
	err := a.engine.Order(ctx, o)
	var old *damasktrail.OldFenceError
	switch {
	case errors.As(err, &old):
		a.metrics.Count("orders_fenced", 1)
		a.log.Warn("order refused", "sent", old.Sent, "held", old.Held)
	case err != nil:
		a.metrics.Count("orders_failed", 1)
		a.log.Warn("order failed", "generation", o.Fence, "error", err)
	default:
		a.metrics.Count("orders_accepted", 1)
	}
}
