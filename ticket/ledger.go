package ticket

import (
	"container/heap"
	"container/list"
	"time"

	"damasktrail.dev"
)

// State is what a ledger knows of the request that a ticket was used for.
type State int

// The states that [Ledger.Begin] returns without a refusal.
const (
	// None comes with a refusal.
	None State = iota
	// Fresh means that the ticket is now bound to this request, which waits. The
	// caller ends it with Burn, or with Dispatch and then Finish or Fail.
	Fresh
	// Running means that the same request waits or runs; the caller attaches to
	// its answer.
	Running
	// Done means that the answer is kept; see [Ledger.Answer].
	Done
)

// Answer is a whole answer that is kept for resends. It is immutable.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Type is the content type.
	Type string
	// Body is the whole body.
	Body []byte
	// Usage counts its tokens.
	Usage damasktrail.Usage
}

// phase is how far the request of a record has come.
type phase int

const (
	waiting    phase = iota // bound and not dispatched
	dispatched              // given to the endpoint
	finished                // ended with an answer, kept or not
	refused                 // ended with the refusal of the record
)

// record is the state of one used ticket.
type record struct {
	digest [32]byte
	// bound says that digest is set; a ticket can be burned without a request.
	bound bool
	phase phase
	// expiry is that of the ticket.
	expiry int64
	// kept holds the answer in the list of kept answers; nil when not kept.
	kept *list.Element
	// refusal is set in phase refused only.
	refusal *damasktrail.Refusal
}

// keptAnswer is an element of the list of kept answers.
type keptAnswer struct {
	record *record
	answer Answer
}

// size returns the bytes that a kept answer counts for.
func (k *keptAnswer) size() int { return len(k.answer.Body) + len(k.answer.Type) }

// Ledger records the tickets of one issuer that were used. A record lives until
// its ticket is expired and its request has ended, so the issuer's bound bounds
// the ledger too. It is not safe for concurrent use.
type Ledger struct {
	issuer  *Issuer
	records map[uint64]*record
	// due holds the expiries of all records.
	due expiries
	// kept has the answer used last at the front; bytes is its size, at most
	// maxBytes.
	kept            *list.List
	bytes, maxBytes int
}

// NewLedger returns an empty ledger that keeps answers of at most maxBytes in
// sum and drops those first that were used least recently.
func NewLedger(issuer *Issuer, maxBytes int) *Ledger {
	return &Ledger{issuer: issuer, records: make(map[uint64]*record), kept: list.New(), maxBytes: maxBytes}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Begin uses a ticket for the request with the given digest. The first use
// binds the ticket; what a later one gets depends on how far the first has
// come. The outcome of a refusal is [damasktrail.NotRun] only where this request
// can never run under this ticket.
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
		// Its record, if it had one, is gone.
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

// Dispatch reports whether the request of a ticket may be given to the endpoint
// now. It is true at most once for a ticket.
func (l *Ledger) Dispatch(ticket string) bool {
	r := l.find(ticket)
	if r == nil || r.phase != waiting {
		return false
	}
	r.phase = dispatched
	return true
}

// Finish records the answer of a dispatched request and keeps it when there is
// room. It reports whether the request was dispatched and had not ended.
func (l *Ledger) Finish(ticket string, a Answer) bool {
	r := l.find(ticket)
	if r == nil || r.phase != dispatched {
		return false
	}
	r.phase = finished
	k := &keptAnswer{record: r, answer: a}
	if k.size() > l.maxBytes {
		return true
	}
	r.kept = l.kept.PushFront(k)
	l.bytes += k.size()
	for l.bytes > l.maxBytes {
		l.drop(l.kept.Back())
	}
	return true
}

// Fail records that a dispatched request ended without an answer; every resend
// gets the refusal. Its outcome is [damasktrail.NotRun] only if no byte reached
// the endpoint. It reports whether the request was dispatched and had not ended.
func (l *Ledger) Fail(ticket string, refusal *damasktrail.Refusal) bool {
	r := l.find(ticket)
	if r == nil || r.phase != dispatched {
		return false
	}
	r.phase, r.refusal = refused, refusal
	return true
}

// Burn makes it impossible that the request of a ticket runs from now on, and
// every later use gets the refusal. It must return true before a caller is told
// that the request was not run; false means that it was dispatched, or that the
// ledger cannot tell. A ticket that was not used yet is burned as well.
func (l *Ledger) Burn(ticket string, refusal *damasktrail.Refusal, now time.Time) bool {
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

// Answer returns the kept answer of a ticket.
func (l *Ledger) Answer(ticket string) (Answer, bool) {
	r := l.find(ticket)
	if r == nil || r.kept == nil {
		return Answer{}, false
	}
	return r.kept.Value.(*keptAnswer).answer, true
}

// bind sets the digest of the request.
func (r *record) bind(digest [32]byte) { r.digest, r.bound = digest, true }

// find returns the record of a ticket, nil when it has none.
func (l *Ledger) find(ticket string) *record {
	c, refusal := l.issuer.verify(ticket)
	if refusal != nil {
		return nil
	}
	return l.records[c.Serial]
}

// add makes the record of a ticket.
func (l *Ledger) add(c claims) *record {
	r := &record{expiry: c.Expiry}
	l.records[c.Serial] = r
	heap.Push(&l.due, expiry{at: c.Expiry, serial: c.Serial})
	return r
}

// expired reports whether a ticket can no longer be used for the first time.
func (l *Ledger) expired(c claims, now time.Time) bool {
	return int64(now.Sub(l.issuer.start)) >= c.Expiry
}

// sweepRetry is how long the record of a request that outlives its ticket is
// left before it is looked at again.
const sweepRetry = int64(time.Second)

// sweep removes the records of expired tickets whose requests have ended.
func (l *Ledger) sweep(now time.Time) {
	since := int64(now.Sub(l.issuer.start))
	for len(l.due) > 0 && l.due[0].at <= since {
		e := l.due[0]
		r := l.records[e.serial]
		if r.phase == waiting || r.phase == dispatched {
			l.due[0].at = since + sweepRetry
			heap.Fix(&l.due, 0)
			continue
		}
		heap.Pop(&l.due)
		delete(l.records, e.serial)
		if r.kept != nil {
			l.drop(r.kept)
		}
	}
}

// drop removes a kept answer.
func (l *Ledger) drop(e *list.Element) {
	k := l.kept.Remove(e).(*keptAnswer)
	k.record.kept = nil
	l.bytes -= k.size()
}
