package agent

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
)

const (
	// orderInterval is the interval at which orders are repeated. An endpoint
	// that ignores fences can be changed by a late order from a dead agent; the
	// repetition corrects it.
	orderInterval = 10 * time.Second
	orderTimeout  = 5 * time.Second
)

// orderOf returns the order of a document for the endpoints of a set.
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

// maySendOrder reports whether the order of the document may be sent. A new
// agent may first learn of an older generation from an entry that lags. An
// endpoint that checks fences refuses the order of that generation; for one
// that does not, the agent waits until each entry has sent a heartbeat.
func (a *Agent) maySendOrder(d *document.Document) bool {
	s, found := d.Set(a.settings.Set)
	return found && (s.Fencing || a.clock.Now().Sub(a.started) > heartbeatInterval+orderTimeout)
}

// sendOrder sends the endpoint the order of the document in force. Only one
// goroutine at a time sends orders, so an older one never follows a newer one.
func (a *Agent) sendOrder() {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	d := a.documents.Load()
	if d == nil {
		return
	}
	o, found := orderOf(d, a.settings.Set)
	if !found || !a.maySendOrder(d) {
		return
	}
	ctx, cancel := context.WithTimeout(a.tasks.Context(), orderTimeout)
	defer cancel()
	err := a.engine.Order(ctx, o)
	var old *damasktrail.OldFenceError
	switch {
	case errors.As(err, &old):
		a.metrics.Count("orders_fenced", 1)
		a.log.Warn("endpoint refused an outdated order", "sent", old.Sent, "held", old.Held)
	case err != nil:
		a.metrics.Count("orders_failed", 1)
		a.log.Warn("order failed", "generation", o.Fence, "error", err)
	default:
		a.metrics.Count("orders_accepted", 1)
	}
}
