package ticket

import (
	"container/heap"
	"container/list"
	"time"

	"damasktrail.dev"
)

// State is the state of the request that a ticket was used for.
type State int

// The states that [Ledger.Begin] returns.
const (
	// None is returned with a refusal only.
	None State = iota
	// Fresh means that this call has bound the ticket to the request, which now
	// waits for dispatch. The caller either invalidates the ticket, or calls
	// [Ledger.Dispatch] and then [Ledger.Finish] or [Ledger.Fail].
	Fresh
	// Running means that an earlier use of the ticket with the same request waits
	// or runs; the caller attaches to its answer.
	Running
	// Done means that the answer is stored and [Ledger.Answer] returns it.
	Done
)

// Answer is a complete answer that is stored for resent requests. It is immutable.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Type is the content type.
	Type string
	// Body is the complete body.
	Body []byte
	// Usage is the token usage of the request.
	Usage damasktrail.Usage
}

// phase is the progress of the request of a record.
type phase int

const (
	waiting    phase = iota // bound to a request and not dispatched yet
	dispatched              // sent to the endpoint
	finished                // ended with an answer, stored or not
	refused                 // ended with the refusal of the record
)

// record is the state of one used ticket.
type record struct {
	digest [32]byte
	// bound reports whether digest is set. It is not set when a ticket was
	// invalidated before its first use.
	bound bool
	phase phase
	// expiryNanos is the expiry of the ticket in nanoseconds since the issuer's
	// start.
	expiryNanos int64
	// kept is the element of Ledger.kept with the answer; nil if the answer is not
	// stored.
	kept *list.Element
	// refusal is set in phase refused only.
	refusal *damasktrail.Refusal
}

// keptAnswer is an element of Ledger.kept.
type keptAnswer struct {
	record *record
	answer Answer
}

// sizeBytes returns the size that counts towards Ledger.maxKeptBytes.
func (k *keptAnswer) sizeBytes() int { return len(k.answer.Body) + len(k.answer.Type) }

// Ledger records the used tickets of one issuer. A record is removed once its
// ticket has expired and its request has ended, so that the limit of the issuer
// also bounds the ledger. It is not safe for concurrent use.
type Ledger struct {
	issuer  *Issuer
	records map[uint64]*record
	// expiries holds the time at which each record is due for removal.
	expiries expiryHeap
	// kept lists the stored answers, the most recently used one at the front.
	// keptBytes is their total size, at most maxKeptBytes.
	kept                    *list.List
	keptBytes, maxKeptBytes int
}

// NewLedger returns an empty ledger. It stores answers with a total size of at
// most maxKeptBytes and evicts the least recently used ones first.
func NewLedger(issuer *Issuer, maxKeptBytes int) *Ledger {
	return &Ledger{issuer: issuer, records: make(map[uint64]*record), kept: list.New(), maxKeptBytes: maxKeptBytes}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Begin uses a ticket for the request with the given digest. The first use binds
// the ticket to the request; the result of a later use depends on the progress of
// that request. The outcome of a refusal is [damasktrail.NotRun] only if this
// request can never run under this ticket.
func (l *Ledger) Begin(ticket, organisation, model string, digest [32]byte, now time.Time) (State, *damasktrail.Refusal) {
	c, refusal := l.issuer.verify(ticket)
	if refusal != nil {
		return None, refusal
	}
	l.sweep(now)
	if c.Organisation != organisation || c.Model != model {
		return None, refuse(damasktrail.ReasonMismatch, damasktrail.NotRun,
			"the ticket was issued to another organisation or for another model")
	}
	r := l.records[c.Serial]
	switch {
	case r == nil && l.expired(c, now):
		// The outcome is unknown because the ticket may have had a record that
		// has been removed.
		return None, refuse(damasktrail.ReasonExpired, damasktrail.Unknown, "the ticket is expired")
	case r == nil:
		l.add(c).bind(digest)
		return Fresh, nil
	case r.bound && r.digest != digest:
		return None, refuse(damasktrail.ReasonMismatch, damasktrail.NotRun,
			"the ticket was used for another request")
	case r.phase == refused:
		return None, r.refusal
	case r.phase != finished:
		return Running, nil
	case r.kept == nil:
		return None, refuse(damasktrail.ReasonDuplicate, damasktrail.Unknown,
			"the ticket was used and its answer is no longer kept")
	}
	l.kept.MoveToFront(r.kept)
	return Done, nil
}

// Dispatch marks the request of a ticket as dispatched and reports whether it may
// be sent to the endpoint. It returns true at most once for a ticket, and once more after
// each [Ledger.Requeue].
func (l *Ledger) Dispatch(ticket string) bool {
	r := l.find(ticket)
	if r == nil || r.phase != waiting {
		return false
	}
	r.phase = dispatched
	return true
}

// Requeue marks a dispatched request as waiting again and reports whether it did. No byte
// of the request may have reached the endpoint.
func (l *Ledger) Requeue(ticket string) bool {
	r := l.find(ticket)
	if r == nil || r.phase != dispatched {
		return false
	}
	r.phase = waiting
	return true
}

// Finish records the end of a dispatched request. It stores the answer unless it
// exceeds the size limit, and evicts others to make room. It reports whether the
// request was dispatched and had not ended.
func (l *Ledger) Finish(ticket string, a Answer) bool {
	r := l.find(ticket)
	if r == nil || r.phase != dispatched {
		return false
	}
	r.phase = finished
	k := &keptAnswer{record: r, answer: a}
	if k.sizeBytes() > l.maxKeptBytes {
		return true
	}
	r.kept = l.kept.PushFront(k)
	l.keptBytes += k.sizeBytes()
	for l.keptBytes > l.maxKeptBytes {
		l.removeAnswer(l.kept.Back())
	}
	return true
}

// Fail records that a dispatched request ended without an answer. Every later use
// of the ticket returns the refusal, whose outcome must be [damasktrail.NotRun]
// only if no byte reached the endpoint. It reports whether the request was
// dispatched and had not ended.
func (l *Ledger) Fail(ticket string, refusal *damasktrail.Refusal) bool {
	r := l.find(ticket)
	if r == nil || r.phase != dispatched {
		return false
	}
	r.phase, r.refusal = refused, refusal
	return true
}

// Invalidate prevents the request of a ticket from running, unless it was dispatched
// already, and makes every later use return the refusal. The ticket need not have
// been used. The result must be true before a caller is told that the request was
// not run; false means that it was dispatched, or that the ledger cannot tell.
func (l *Ledger) Invalidate(ticket string, refusal *damasktrail.Refusal, now time.Time) bool {
	c, invalid := l.issuer.verify(ticket)
	if invalid != nil {
		return false
	}
	l.sweep(now)
	r := l.records[c.Serial]
	if r == nil {
		if l.expired(c, now) {
			return false
		}
		r = l.add(c)
	}
	if r.phase == refused {
		return r.refusal.Outcome == damasktrail.NotRun
	}
	if r.phase != waiting {
		return false
	}
	r.phase, r.refusal = refused, refusal.WithOutcome(damasktrail.NotRun)
	return true
}

// Answer returns the stored answer of a ticket.
func (l *Ledger) Answer(ticket string) (Answer, bool) {
	r := l.find(ticket)
	if r == nil || r.kept == nil {
		return Answer{}, false
	}
	return r.kept.Value.(*keptAnswer).answer, true
}

// bind sets the digest of the request.
func (r *record) bind(digest [32]byte) { r.digest, r.bound = digest, true }

// find returns the record of a ticket, or nil if it has none or is not valid.
func (l *Ledger) find(ticket string) *record {
	c, refusal := l.issuer.verify(ticket)
	if refusal != nil {
		return nil
	}
	return l.records[c.Serial]
}

// add creates the record of a ticket.
func (l *Ledger) add(c claims) *record {
	r := &record{expiryNanos: c.Expiry}
	l.records[c.Serial] = r
	heap.Push(&l.expiries, expiry{atNanos: c.Expiry, serial: c.Serial})
	return r
}

// expired reports whether a ticket has expired. An expired ticket can no longer be
// used for the first time.
func (l *Ledger) expired(c claims, now time.Time) bool {
	return int64(now.Sub(l.issuer.start)) >= c.Expiry
}

// sweepRetryNanos is the time between two checks of a record whose ticket has
// expired and whose request has not ended.
const sweepRetryNanos = int64(time.Second)

// sweep removes the records of expired tickets whose requests have ended.
func (l *Ledger) sweep(now time.Time) {
	elapsed := int64(now.Sub(l.issuer.start))
	for len(l.expiries) > 0 && l.expiries[0].atNanos <= elapsed {
		e := l.expiries[0]
		r := l.records[e.serial]
		if r.phase == waiting || r.phase == dispatched {
			l.expiries[0].atNanos = elapsed + sweepRetryNanos
			heap.Fix(&l.expiries, 0)
			continue
		}
		heap.Pop(&l.expiries)
		delete(l.records, e.serial)
		if r.kept != nil {
			l.removeAnswer(r.kept)
		}
	}
}

// removeAnswer removes a stored answer.
func (l *Ledger) removeAnswer(e *list.Element) {
	k := l.kept.Remove(e).(*keptAnswer)
	k.record.kept = nil
	l.keptBytes -= k.sizeBytes()
}
