// Package ticket implements at-most-once execution of non-idempotent requests. An
// agent's [Issuer] makes tickets that only this incarnation of the agent can
// verify, and its [Ledger] records the tickets that were used. Expiry is measured
// on the agent's monotonic clock from its start, so that clocks need not be
// synchronised. Neither type is safe for concurrent use: both are owned by the
// goroutine of the agent's control state.
package ticket

import (
	"container/heap"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev"
)

const (
	// formatVersion is the first byte of a ticket. It distinguishes later formats.
	formatVersion = 1
	// maxTicketBytes bounds the text of a ticket, because HTTP servers commonly
	// allow 8 KB for all headers.
	maxTicketBytes = 1024
	// MaxOutstanding bounds the issued tickets that have not expired. It also
	// bounds the ledger, which holds at most one record for each of them.
	MaxOutstanding = 1 << 16
)

// textEncoding is strict, so that a ticket has only one textual encoding.
var textEncoding = base64.RawURLEncoding.Strict()

// FormatError reports that a text is not a ticket, or that a ticket cannot be
// encoded.
type FormatError struct {
	// Cause is the error that was found.
	Cause error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("ticket cannot be read: %v", e.Cause) }

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Cause }

// The causes of a FormatError other than those of the codecs.
var (
	errLength    = errors.New("length is out of range")
	errVersion   = errors.New("format is not known")
	errCanonical = errors.New("encoding is not canonical")
)

// OutstandingError reports that an issuer has too many unexpired tickets.
type OutstandingError struct {
	// Limit is the limit that was reached.
	Limit int
	// Retry is the time until the first of the tickets expires.
	Retry time.Duration
}

// Error implements error.
func (e *OutstandingError) Error() string {
	return fmt.Sprintf("%d tickets are outstanding, the first expires in %v", e.Limit, e.Retry)
}

// claims is the signed content of a ticket. Decoding errors, which callers
// receive, contain the names of the type and its fields.
type claims struct {
	_            struct{} `cbor:",toarray"`
	Agent        string
	Incarnation  string
	Serial       uint64
	Organisation string
	Model        string
	// Expiry is the time of expiry in nanoseconds since the issuer's start.
	Expiry int64
}

// strictCBOR decodes CBOR and rejects duplicate keys, indefinite lengths and tags.
var strictCBOR = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// parse decodes a ticket into its claims, the signed bytes and the MAC. It does
// not verify the MAC.
func parse(text string) (c claims, signed, mac []byte, err error) {
	defer func() {
		if err != nil {
			err = &FormatError{Cause: err}
		}
	}()
	if len(text) > maxTicketBytes {
		return claims{}, nil, nil, errLength
	}
	raw, err := textEncoding.DecodeString(text)
	if err != nil {
		return claims{}, nil, nil, err
	}
	if len(raw) <= 1+sha256.Size {
		return claims{}, nil, nil, errLength
	}
	if raw[0] != formatVersion {
		return claims{}, nil, nil, errVersion
	}
	signed, mac = raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if err = strictCBOR.Unmarshal(signed[1:], &c); err != nil {
		return claims{}, nil, nil, err
	}
	// The base64 decoder ignores line breaks, so that without this check a ticket
	// would have several textual encodings.
	if textEncoding.EncodeToString(raw) != text {
		return claims{}, nil, nil, errCanonical
	}
	return c, signed, mac, nil
}

// Target returns the agent and incarnation that a ticket names. It does not
// authenticate the ticket: only that incarnation has the key to verify it. The
// error is a [*FormatError].
func Target(ticket string) (agent, incarnation string, err error) {
	c, _, _, err := parse(ticket)
	if err != nil {
		return "", "", err
	}
	return c.Agent, c.Incarnation, nil
}

// Issuer makes and verifies the tickets of one incarnation of an agent.
type Issuer struct {
	agent, incarnation string
	secret             []byte
	start              time.Time
	serial             uint64
	// outstanding holds the expiry times of the unexpired tickets.
	outstanding expiryHeap
}

// NewIssuer returns an issuer that signs with the given secret. The secret must be
// random and known to this incarnation only; now must have a monotonic clock
// reading.
func NewIssuer(agent, incarnation string, secret []byte, now time.Time) *Issuer {
	return &Issuer{agent: agent, incarnation: incarnation, secret: secret, start: now}
}

// Issue returns a new ticket with the given lifetime. The error is an
// [*OutstandingError] when [MaxOutstanding] is reached, or a [*FormatError] when
// the names are too long.
func (is *Issuer) Issue(organisation, model string, lifetime time.Duration, now time.Time) (string, error) {
	elapsed := int64(now.Sub(is.start))
	for len(is.outstanding) > 0 && is.outstanding[0].atNanos <= elapsed {
		heap.Pop(&is.outstanding)
	}
	if len(is.outstanding) >= MaxOutstanding {
		return "", &OutstandingError{Limit: MaxOutstanding, Retry: time.Duration(is.outstanding[0].atNanos - elapsed)}
	}
	c := claims{
		Agent: is.agent, Incarnation: is.incarnation, Serial: is.serial,
		Organisation: organisation, Model: model, Expiry: elapsed + int64(lifetime),
	}
	body, err := cbor.Marshal(c)
	if err != nil {
		return "", &FormatError{Cause: err}
	}
	signed := append([]byte{formatVersion}, body...)
	text := textEncoding.EncodeToString(is.sign(signed, signed))
	if len(text) > maxTicketBytes {
		return "", &FormatError{Cause: errLength}
	}
	is.serial++
	heap.Push(&is.outstanding, expiry{atNanos: c.Expiry, serial: c.Serial})
	return text, nil
}

// sign appends the MAC of signed to dst.
func (is *Issuer) sign(dst, signed []byte) []byte {
	h := hmac.New(sha256.New, is.secret)
	h.Write(signed)
	return h.Sum(dst)
}

// verify returns the claims of a ticket, or a refusal if this issuer did not issue
// it.
func (is *Issuer) verify(text string) (claims, *damasktrail.Refusal) {
	c, signed, mac, err := parse(text)
	if err != nil {
		// The outcome is unknown because a newer version of the agent may have
		// issued the ticket and run its request.
		return claims{}, refuse(damasktrail.ReasonMalformed, damasktrail.Unknown, err.Error())
	}
	if !hmac.Equal(mac, is.sign(nil, signed)) || c.Agent != is.agent || c.Incarnation != is.incarnation {
		return claims{}, refuse(damasktrail.ReasonIncarnation, damasktrail.Unknown,
			"the ticket was not issued by this incarnation of the agent")
	}
	return c, nil
}

// refuse returns a refusal without a retry time, because a retry cannot succeed.
func refuse(reason damasktrail.Reason, outcome damasktrail.Outcome, detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{Reason: reason, Outcome: outcome, Detail: detail}
}

// expiry is the serial number of a ticket with a time in nanoseconds since the
// issuer's start, at which the ticket expires or its record is checked next.
type expiry struct {
	atNanos int64
	serial  uint64
}

// expiryHeap is a min-heap ordered by time. It implements heap.Interface.
type expiryHeap []expiry

// Len implements heap.Interface.
func (e expiryHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiryHeap) Less(i, j int) bool { return e[i].atNanos < e[j].atNanos }

// Swap implements heap.Interface.
func (e expiryHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
