package damasktrail

import "time"

// Cost is the estimated work of one request in tokens.
type Cost struct {
	// Prefill is the number of prompt tokens.
	Prefill int
	// Decode is the expected number of generated tokens.
	Decode int
}

// Request holds the properties of a request that scheduling decisions use. It is
// immutable.
type Request struct {
	// Organisation and Model are names in the document.
	Organisation, Model string
	// Tier is the rank of the request's tier; 0 is the highest.
	Tier int
	// Cost is the estimate at the arrival of the request.
	Cost Cost
	// Deadline is the remaining time, after which the answer is useless.
	Deadline time.Duration
	// Fingerprint is a digest of organisation, model and body.
	Fingerprint uint64
}

// Load is the load of an agent, which reports it with completions, refusals and
// heartbeats. The CBOR keys are integers because field names took 59 of the 251
// bytes of a heartbeat on the wire.
type Load struct {
	// Running and Waiting are the numbers of the agent's running and waiting
	// requests.
	Running int `cbor:"1,keyasint" json:"running"`
	Waiting int `cbor:"2,keyasint" json:"waiting"`
	// Prefill and Decode are the estimated tokens that remain to be processed for
	// running and waiting requests.
	Prefill int `cbor:"3,keyasint" json:"prefill"`
	Decode  int `cbor:"4,keyasint" json:"decode"`
	// Lowest is the rank of the lowest tier with waiting requests; -1 if there are
	// none.
	Lowest int `cbor:"5,keyasint" json:"lowest"`
	// Limit is the maximum number of requests that the agent runs concurrently at
	// its endpoint.
	Limit int `cbor:"6,keyasint" json:"limit"`
	// PrefillRate and DecodeRate are measured in tokens per second over all running
	// requests; zero if not yet known.
	PrefillRate float64 `cbor:"7,keyasint" json:"prefillrate"`
	DecodeRate  float64 `cbor:"8,keyasint" json:"decoderate"`
	// TokenIntervalMicros is the mean time between two tokens of one answer in
	// microseconds, including interleaved prefill of other requests; zero if not
	// yet known and for plain services.
	TokenIntervalMicros int `cbor:"9,keyasint,omitempty" json:"token"`
}

// Candidate is an agent that could run a request.
type Candidate struct {
	// Agent is the name of the agent's VM.
	Agent string
	// Domain is the agent's failure domain.
	Domain string
	// Load is the latest report, and Age the time since it arrived.
	Load Load
	Age  time.Duration
	// Sent is the work that this entry has sent to the agent since the report.
	Sent Cost
	// Inflight is the number of this entry's open requests at the agent.
	Inflight int
	// CachedShare is the share of the prompt, from 0 to 1, that is expected to be
	// in the agent's prefix cache.
	CachedShare float64
}

// Policy chooses the agent that runs a request. Implementations are safe for
// concurrent use and do not block.
type Policy interface {
	// Choose returns the index of the chosen candidate; ok is false if none of
	// them should run the request.
	Choose(r Request, candidates []Candidate) (index int, ok bool)
}
