package coordinator

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
)

// kind is the kind of a message.
type kind uint8

// Kinds of messages. A client sends asks, starts, ends, cancellations and holdings;
// a coordinator sends the others.
const (
	// kindAsk asks for a slot.
	kindAsk kind = iota + 1
	// kindQueued says that the ask waits for a slot.
	kindQueued
	// kindGranted carries a slot.
	kindGranted
	// kindRefused says that the ask got no slot.
	kindRefused
	// kindStarted says that the first byte of the answer has arrived.
	kindStarted
	// kindDone gives the slot back.
	kindDone
	// kindCancelled withdraws the ask, or gives back a slot that was not used.
	kindCancelled
	// kindHoldings lists the asks and slots of the client.
	kindHoldings
	// kindUnknown says that the coordinator does not have an ask or slot that the
	// client listed, or cannot take an ask.
	kindUnknown
)

// message is one message between a client and a coordinator. It is encoded as an
// array without field names.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	// Boot is the incarnation of the client, ID its number of the ask.
	Boot, ID uint64
	Ask      *ask
	Slot     *slot
	Refusal  *refusal
	// Result and PaceNanos describe the end of an attempt.
	Result    dispatch.Result
	PaceNanos int64
	// Waiting and Held are the numbers of the client's asks that wait and of those
	// that have got a slot.
	Waiting, Held []uint64
	// Percent and LoadAgeNanos are what the answer states of the load of its endpoint, in
	// messages of the kinds started and done.
	Percent      int
	LoadAgeNanos int64
}

// ask is the wire format of a dispatch.Request.
type ask struct {
	_              struct{} `cbor:",toarray"`
	Service        string
	Engine         bool
	Organisation   string
	Tier           int
	ObjectiveNanos int64
	TimeoutNanos   int64
	Prompt         int
	Avoid          string
	Closed         []closure
	Limits         []fleet.LimitReport
	Regions        [][]string
	Output         int
	PauseNanos     int64
	Whole          bool
	Repeatable     bool
}

// closure is the wire format of a fleet.Closure. RemainingNanos is negative if the closure
// ends only with the process.
type closure struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	StartedMillis  int64
	RemainingNanos int64
}

// slot is the wire format of a dispatch.Grant.
type slot struct {
	_                       struct{} `cbor:",toarray"`
	ID, Service, Address    string
	Domain                  string
	StartedMillis           int64
	Own, Peers, Free, Slots int
	PaceNanos               int64
	// Percent, Factor and Waited are those of the dispatch.Choice.
	Percent int
	Factor  dispatch.Factor
	Waited  bool
	// Endpoints and Evacuations are the Revisions of the lists by which the slot was granted.
	Endpoints, Evacuations uint64
}

// refusal is the wire format of a damasktrail.Refusal with the outcome NotRun.
type refusal struct {
	_               struct{} `cbor:",toarray"`
	Reason          damasktrail.Reason
	RetryAfterNanos int64
	Detail          string
}

func encode(m message) ([]byte, error) { return cbor.Marshal(m) }

func decode(datagram []byte) (m message, err error) {
	err = cbor.Unmarshal(datagram, &m)
	return m, err
}

func newAsk(r dispatch.Request, limits []fleet.LimitReport) *ask {
	res := &ask{
		Limits:  limits,
		Regions: boundRegions(r.Regions),
		Service: r.Service, Engine: r.Engine, Organisation: r.Organisation, Tier: r.Tier,
		ObjectiveNanos: int64(r.Objective), TimeoutNanos: int64(r.Timeout), Prompt: r.Prompt, Avoid: r.Avoid,
		Output: r.Output, PauseNanos: int64(r.Pause), Whole: r.Whole, Repeatable: r.Repeatable,
	}
	for _, c := range r.Closed {
		remaining := int64(c.Remaining)
		if c.Remaining == fleet.Forever {
			remaining = -1
		}
		res.Closed = append(res.Closed, closure{ID: c.ID, StartedMillis: c.StartedMillis, RemainingNanos: remaining})
	}
	return res
}

const (
	// maxTier bounds the rank of a tier. It is above that of any tier of a configuration.
	maxTier = 1 << 20
	// maxTimeout bounds the times in a message. It is above that of any request.
	maxTimeout = 24 * time.Hour
)

// valid reports whether all numbers are in range. A timeout may have passed.
func (a *ask) valid() bool {
	return a.Tier >= 0 && a.Tier <= maxTier && a.Prompt >= 0 && a.Prompt <= damasktrail.MaxPromptTokens &&
		a.ObjectiveNanos >= 0 && a.ObjectiveNanos <= int64(maxTimeout) && a.TimeoutNanos <= int64(maxTimeout)
}

// bounded returns a time of a message, zero if it is out of range.
func bounded(nanos int64) time.Duration {
	if nanos < 0 || nanos > int64(maxTimeout) {
		return 0
	}
	return time.Duration(nanos)
}

// request returns the request of a valid ask.
func (a *ask) request(client string) dispatch.Request {
	res := dispatch.Request{
		Service: a.Service, Engine: a.Engine, Organisation: a.Organisation, Tier: a.Tier,
		Objective: time.Duration(a.ObjectiveNanos), Timeout: max(0, time.Duration(a.TimeoutNanos)), Prompt: a.Prompt, Avoid: a.Avoid, Client: client, Regions: a.Regions,
		Output: min(max(0, a.Output), maxOutput), Pause: min(max(0, time.Duration(a.PauseNanos)), maxPause), Whole: a.Whole, Repeatable: a.Repeatable,
	}
	for _, c := range a.Closed[:min(len(a.Closed), maxClosures)] {
		remaining := time.Duration(c.RemainingNanos)
		if remaining < 0 {
			remaining = fleet.Forever
		}
		res.Closed = append(res.Closed, fleet.Closure{Process: fleet.Process{ID: c.ID, StartedMillis: c.StartedMillis}, Remaining: remaining})
	}
	return res
}

func newSlot(g *dispatch.Grant, lists Revisions) *slot {
	e, c := g.Endpoint, g.Choice
	return &slot{
		ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, StartedMillis: e.StartedMillis, Slots: e.Slots,
		Own: c.Own, Peers: c.Peers, Free: c.Free, PaceNanos: int64(c.Pace),
		Percent: c.Percent, Factor: c.Factor, Waited: c.Waited,
		Endpoints: lists.Endpoints, Evacuations: lists.Evacuations,
	}
}

func (s *slot) endpoint() fleet.Endpoint {
	return fleet.Endpoint{ID: s.ID, Service: s.Service, Address: s.Address, Domain: s.Domain, StartedMillis: s.StartedMillis, Slots: s.Slots}
}

func (s *slot) choice() dispatch.Choice {
	return dispatch.Choice{Own: s.Own, Peers: s.Peers, Free: s.Free, Pace: time.Duration(s.PaceNanos), Percent: s.Percent, Factor: s.Factor, Waited: s.Waited}
}

func (s *slot) lists() Revisions {
	return Revisions{Endpoints: s.Endpoints, Evacuations: s.Evacuations}
}

func newRefusal(r *damasktrail.Refusal) *refusal {
	return &refusal{Reason: r.Reason, RetryAfterNanos: int64(r.RetryAfter), Detail: r.Detail}
}

func (r *refusal) refusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{Reason: r.Reason, Outcome: damasktrail.NotRun, RetryAfter: bounded(r.RetryAfterNanos), Detail: r.Detail}
}

const (
	// maxOutput and maxPause bound what an ask may state, so that sums cannot overflow.
	maxOutput = 1 << 20
	maxPause  = time.Hour
)

// withLoad returns the message with what the answer states of the load of its endpoint.
func (m message) withLoad(l fleet.StatedLoad) message {
	m.Percent, m.LoadAgeNanos = l.Percent, int64(l.Age)
	return m
}

// load returns what the answer states of the load of its endpoint.
func (m message) load() fleet.StatedLoad {
	return fleet.StatedLoad{Percent: m.Percent, Age: time.Duration(m.LoadAgeNanos)}.Valid()
}
