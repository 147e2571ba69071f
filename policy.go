package damasktrail

import "time"

// Cost estimates the work of one request in tokens.
type Cost struct {
	// Prefill is the number of prompt tokens.
	Prefill int
	// Decode is the expected number of generated tokens.
	Decode int
}

// Request is what a decision knows of a request. It is immutable.
type Request struct {
	// Organisation and Model are names from the document.
	Organisation, Model string
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int
	// Cost is the estimate made at arrival.
	Cost Cost
	// Deadline is the time left until the answer is useless.
	Deadline time.Duration
	// Fingerprint is a digest of organisation, model and body.
	Fingerprint uint64
}

// Load is the state of an agent as it reports it on ends, refusals and
// heartbeats. Its CBOR fields are numbered, since their names were 59 of the 251
// bytes that a heartbeat costs on the wire.
type Load struct {
	// Running and Waiting count the agent's requests.
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// Prefill and Decode are the estimated tokens still to be processed by
	// running and waiting requests.
	Prefill int `cbor:"3,keyasint" json:"prefill"`
	Decode  int `cbor:"4,keyasint" json:"decode"`
	// Lowest is the rank of the lowest tier that is waiting; -1 when none waits.
	Lowest int `cbor:"5,keyasint" json:"lowest"`
	// Limit is the number of requests that the agent allows inside its endpoint.
	Limit int `cbor:"6,keyasint" json:"limit"`
	// PrefillRate and DecodeRate are measured speeds in tokens per second over
	// all running requests; zero when not yet known.
	PrefillRate float64 `cbor:"7,keyasint" json:"prefillrate"`
	DecodeRate  float64 `cbor:"8,keyasint" json:"decoderate"`
	// Token is the mean time between two tokens of one answer in microseconds,
	// prefill of others in between included; zero when not yet known and for plain
	// services.
	Token int `cbor:"9,keyasint,omitempty" json:"token"`
}

// Candidate is one agent that could take a request.
type Candidate struct {
	// Agent is the name of the agent's VM.
	Agent string
	// Domain is its failure domain.
	Domain string
	// Load is the latest report, and Age the time since it arrived.
	Load Load
	Age  time.Duration
	// Sent is the work sent by this entry since the report.
	Sent Cost
	// Inflight counts this entry's own open requests there.
	Inflight int
	// Cached says that the agent probably holds the request's prefix; 0 to 1 is
	// the share of the prompt expected in its cache.
	Cached float64
}

// Policy chooses where a request goes. Implementations are safe for use by
// several goroutines and do not block.
type Policy interface {
	// Choose returns the index of the chosen candidate; ok is false when none
	// of them should take the request.
	Choose(r Request, candidates []Candidate) (index int, ok bool)
}
