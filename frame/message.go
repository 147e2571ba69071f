package frame

import (
	"time"

	"damasktrail.dev"
)

// Open starts an attempt: one request sent to one agent.
type Open struct {
	// ID is unique among all attempts: it consists of the entry's incarnation and
	// a counter.
	ID string `cbor:"id"`
	// Ticket is empty for an idempotent request.
	Ticket       string `cbor:"ticket,omitempty"`
	Organisation string `cbor:"organisation"`
	// Tier is the rank of the tier; 0 is the highest.
	Tier   int    `cbor:"tier"`
	Model  string `cbor:"model"`
	Method string `cbor:"method"`
	Path   string `cbor:"path"`
	Type   string `cbor:"type"`
	Body   []byte `cbor:"body"`
	Stream bool   `cbor:"stream"`
	// DeadlineMillis is the time left until the deadline when the message is sent,
	// in milliseconds.
	DeadlineMillis int64 `cbor:"deadline"`
	// Generation is the generation of the entry's document.
	Generation uint64 `cbor:"generation"`
	// Floor is the rank of the lowest tier admitted for the model; -1 when all
	// tiers are.
	Floor       int              `cbor:"floor"`
	Fingerprint uint64           `cbor:"fingerprint"`
	Cost        damasktrail.Cost `cbor:"cost"`
	// DecodeP90 is the estimated 0.9 quantile of the number of generated tokens.
	DecodeP90 int `cbor:"longest"`
}

// Head begins an answer.
type Head struct {
	Status int    `cbor:"status"`
	Type   string `cbor:"type"`
}

// Chunk carries a part of an answer's body.
type Chunk struct {
	// Position is the number of chunks that precede this one in the answer.
	Position uint64 `cbor:"position"`
	Data     []byte `cbor:"data"`
}

// End completes an answer. The answer is complete only if Chunks and Digest match
// the received chunks.
type End struct {
	// Chunks is the number of chunks in the answer.
	Chunks uint64 `cbor:"chunks"`
	// Digest is the CRC-64 (ECMA) of the data of all chunks.
	Digest uint64 `cbor:"digest"`
	// Prefill and Decode are the numbers of prompt tokens and generated tokens.
	Prefill    int              `cbor:"prefill"`
	Decode     int              `cbor:"decode"`
	Load       damasktrail.Load `cbor:"load"`
	Generation uint64           `cbor:"generation"`
}

// Refuse ends an attempt without a complete answer.
type Refuse struct {
	Reason  damasktrail.Reason  `cbor:"reason"`
	Outcome damasktrail.Outcome `cbor:"outcome"`
	Detail  string              `cbor:"detail"`
	// RetryAfterMillis is the time after which a retry makes sense, in milliseconds.
	// Zero means that no retry can help.
	RetryAfterMillis int64            `cbor:"retry"`
	Load             damasktrail.Load `cbor:"load"`
	Generation       uint64           `cbor:"generation"`
}

// Refusal returns the refusal that the message carries.
func (r Refuse) Refusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason:     r.Reason,
		Outcome:    r.Outcome,
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMillis) * time.Millisecond,
	}
}

// Hello is the first message that each side sends on a control stream.
type Hello struct {
	Name string `cbor:"name"`
	// Incarnation is a random identifier that a process chooses at each start.
	Incarnation string `cbor:"incarnation"`
	// Generation is the generation of the sender's document.
	Generation uint64 `cbor:"generation"`
	// VMListVersion is the version of the sender's VM list; zero if the sender
	// is an agent.
	VMListVersion uint64 `cbor:"members"`
}

// Suspect identifies a request that an endpoint had received and not finished
// when the endpoint crashed.
type Suspect struct {
	Fingerprint uint64 `cbor:"fingerprint"`
	// Crashes holds an identifier of each crash. Processes merge the identifiers
	// as a set, so that a crash reported over several paths counts once.
	Crashes []uint64 `cbor:"crashes"`
	// AgeMillis is the time since the latest of the crashes, in milliseconds.
	AgeMillis int64 `cbor:"age"`
}

// Evidence is what a process knows of a feature of requests that were lost when their
// endpoints crashed. A feature is a hash of what requests have in common.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Feature uint64
	// AnsweredMillis is the age of the latest sound answer to a request with the feature
	// in milliseconds, -1 if there was none.
	AnsweredMillis int64
	Crashes        []EvidenceCrash
}

// EvidenceCrash is one crash of an endpoint.
type EvidenceCrash struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the endpoint or its incarnation.
	ID uint32
	// AgeMillis is the time since the crash in milliseconds.
	AgeMillis int64
	// Trial is set if the lost request had been let through although its feature was
	// refused.
	Trial bool
}

// Floor is the rank of the lowest tier admitted for a model.
type Floor struct {
	Model string `cbor:"model"`
	Tier  int    `cbor:"tier"`
}

// Heartbeat reports the state of its sender at regular intervals on a control
// stream.
type Heartbeat struct {
	Generation uint64 `cbor:"generation"`
	// VMListVersion is the version of the sender's VM list; zero if the sender
	// is an agent.
	VMListVersion uint64 `cbor:"members,omitempty"`
	// Load is the load of the sender's endpoint; zero if the sender is an entry.
	Load damasktrail.Load `cbor:"load,omitzero"`
	// PlatformAgeMillis is the time since the most recent contact of any process with
	// the platform that the sender knows of, in milliseconds.
	PlatformAgeMillis int64     `cbor:"age,omitempty"`
	Suspects          []Suspect `cbor:"suspects,omitempty"`
	Floors            []Floor   `cbor:"floors,omitempty"`
	// Evidence is sent between entries.
	Evidence []Evidence `cbor:"evidence,omitempty"`
	Leaving  bool       `cbor:"leaving,omitempty"`
	// Reply requests a heartbeat in return, which distinguishes a silent link from
	// an idle one.
	Reply bool `cbor:"reply,omitempty"`
}

// Topic identifies one of the two values that the platform publishes.
type Topic string

// The topics.
const (
	TopicDocument Topic = "document"
	TopicVMs      Topic = "vms"
)

// Pull requests the changes of a value since the version From.
type Pull struct {
	Topic Topic  `cbor:"topic"`
	From  uint64 `cbor:"from"`
}

// Change carries the differences between two versions of a value.
type Change struct {
	Topic Topic  `cbor:"topic"`
	From  uint64 `cbor:"from"`
	To    uint64 `cbor:"to"`
	// Differences are encoded by package document or member and are applied in
	// order. Each holds its two versions and the digest of its result.
	Differences [][]byte `cbor:"differences"`
}

// Whole carries a complete value.
type Whole struct {
	Topic Topic `cbor:"topic"`
	// Data is the value as the platform published it.
	Data []byte `cbor:"data"`
}

// Issue requests a ticket from an agent.
type Issue struct {
	// ID is repeated in the [Ticket] that answers this request.
	ID           uint64 `cbor:"id"`
	Organisation string `cbor:"organisation"`
	Model        string `cbor:"model"`
}

// Ticket answers an [Issue].
type Ticket struct {
	ID     uint64 `cbor:"id"`
	Ticket string `cbor:"ticket"`
	// ExpiresInMillis is the time until the ticket expires, in milliseconds.
	ExpiresInMillis int64 `cbor:"expires"`
	// Refusal is set if no ticket was issued.
	Refusal *Refuse `cbor:"refusal,omitempty"`
}

// Leave announces that the sender accepts no new requests.
type Leave struct{}
