package frame

import (
	"time"

	"damasktrail.dev"
)

// Open starts an attempt: one request sent to one agent.
type Open struct {
	// ID is unique: the entry's incarnation and a counter.
	ID string `cbor:"id"`
	// Ticket is empty for an idempotent request.
	Ticket       string `cbor:"ticket,omitempty"`
	Organisation string `cbor:"organisation"`
	// Tier is a rank; 0 is the highest.
	Tier   int    `cbor:"tier"`
	Model  string `cbor:"model"`
	Method string `cbor:"method"`
	Path   string `cbor:"path"`
	Type   string `cbor:"type"`
	Body   []byte `cbor:"body"`
	Stream bool   `cbor:"stream"`
	// Deadline is the time left at sending, in milliseconds.
	Deadline int64 `cbor:"deadline"`
	// Generation is that of the entry's document.
	Generation uint64 `cbor:"generation"`
	// Floor is the lowest tier rank admitted for the model; -1 when all are.
	Floor       int              `cbor:"floor"`
	Fingerprint uint64           `cbor:"fingerprint"`
	Cost        damasktrail.Cost `cbor:"cost"`
	// Longest is a number of generated tokens that the answer hardly exceeds.
	Longest int `cbor:"longest"`
}

// Head starts an answer.
type Head struct {
	Status int    `cbor:"status"`
	Type   string `cbor:"type"`
}

// Chunk is a part of an answer.
type Chunk struct {
	// Position is the number of chunks before this one.
	Position uint64 `cbor:"position"`
	Data     []byte `cbor:"data"`
}

// End completes an answer. An answer is whole only when Chunks and Digest match
// what was received.
type End struct {
	Chunks uint64 `cbor:"chunks"`
	// Digest is the CRC-64 (ECMA) of all data.
	Digest     uint64           `cbor:"digest"`
	Prefill    int              `cbor:"prefill"`
	Decode     int              `cbor:"decode"`
	Load       damasktrail.Load `cbor:"load"`
	Generation uint64           `cbor:"generation"`
}

// Refuse ends an attempt without a whole answer.
type Refuse struct {
	Reason  damasktrail.Reason  `cbor:"reason"`
	Outcome damasktrail.Outcome `cbor:"outcome"`
	Detail  string              `cbor:"detail"`
	// Retry is in milliseconds; zero means that no retry can help.
	Retry      int64            `cbor:"retry"`
	Load       damasktrail.Load `cbor:"load"`
	Generation uint64           `cbor:"generation"`
}

// Refusal converts the message into the error that it carries.
func (r Refuse) Refusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason:     r.Reason,
		Outcome:    r.Outcome,
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.Retry) * time.Millisecond,
	}
}

// Hello opens a control stream; each side sends one first.
type Hello struct {
	Name string `cbor:"name"`
	// Incarnation is random and differs at each start of a process.
	Incarnation string `cbor:"incarnation"`
	Generation  uint64 `cbor:"generation"`
	// Members is the version of the VM list; zero at an agent.
	Members uint64 `cbor:"members"`
}

// Suspect is a request that was inside an endpoint when it crashed.
type Suspect struct {
	Fingerprint uint64 `cbor:"fingerprint"`
	// Crashes identifies each crash; processes merge them as a set, so that a
	// crash that is reported over several ways counts once.
	Crashes []uint64 `cbor:"crashes"`
	// Age is the time since the latest crash in milliseconds.
	Age int64 `cbor:"age"`
}

// Floor is the lowest tier rank admitted for a model.
type Floor struct {
	Model string `cbor:"model"`
	Tier  int    `cbor:"tier"`
}

// Beat is a heartbeat on a control stream.
type Beat struct {
	Generation uint64 `cbor:"generation"`
	// Members is the version of the VM list; zero at an agent.
	Members uint64 `cbor:"members,omitempty"`
	// Load is zero from an entry.
	Load damasktrail.Load `cbor:"load,omitzero"`
	// Age is the time since the freshest contact with the platform that the
	// sender knows of, in milliseconds.
	Age      int64     `cbor:"age,omitempty"`
	Suspects []Suspect `cbor:"suspects,omitempty"`
	Floors   []Floor   `cbor:"floors,omitempty"`
	Leaving  bool      `cbor:"leaving,omitempty"`
	// Reply asks for a beat in return, to tell a silent link from an idle one.
	Reply bool `cbor:"reply,omitempty"`
}

// Topic names one of the two published values.
type Topic string

// The topics.
const (
	TopicDocument Topic = "document"
	TopicVMs      Topic = "vms"
)

// Pull asks for what follows a version of a value.
type Pull struct {
	Topic Topic  `cbor:"topic"`
	From  uint64 `cbor:"from"`
}

// Change carries the differences that lead from one version of a value to
// another.
type Change struct {
	Topic Topic  `cbor:"topic"`
	From  uint64 `cbor:"from"`
	To    uint64 `cbor:"to"`
	// Differences, in the order in which to apply them, are encoded by package
	// document or member. Each holds its versions and the digest of its result.
	Differences [][]byte `cbor:"differences"`
}

// Whole carries a whole value.
type Whole struct {
	Topic Topic `cbor:"topic"`
	// Data is the value as the platform published it.
	Data []byte `cbor:"data"`
}

// Issue asks an agent for a ticket.
type Issue struct {
	// ID matches the answer to the question.
	ID           uint64 `cbor:"id"`
	Organisation string `cbor:"organisation"`
	Model        string `cbor:"model"`
}

// Ticket answers Issue. Refusal is set when none was issued.
type Ticket struct {
	ID     uint64 `cbor:"id"`
	Ticket string `cbor:"ticket"`
	// Expires is the ticket's remaining life in milliseconds.
	Expires int64   `cbor:"expires"`
	Refusal *Refuse `cbor:"refusal,omitempty"`
}

// Leave says that the sender takes no new work.
type Leave struct{}
