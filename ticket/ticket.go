// Package ticket lets a non-idempotent request run at most once. An agent's
// [Issuer] makes tickets that only this incarnation of the agent can verify,
// and its [Ledger] records which of them were used. Expiry is counted on the
// agent's own monotonic clock from its start, so no clock is shared. Nothing
// here is safe for concurrent use: the goroutine of the agent's control state
// owns both values.
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
	// format is the first byte of a ticket, so that a later format is told apart.
	format = 1
	// maxTicket bounds a ticket as text; HTTP servers commonly allow 8 KB for
	// all headers.
	maxTicket = 1024
	// MaxOutstanding bounds the tickets that are issued and not expired. It
	// bounds the ledger, which holds at most one record for each of them.
	MaxOutstanding = 1 << 16
)

// encoding is strict, so that a ticket has exactly one text.
var encoding = base64.RawURLEncoding.Strict()

// FormatError says that a text is not a ticket.
type FormatError struct {
	// Cause is what was wrong.
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

// OutstandingError says that an issuer has too many tickets that are not
// expired.
type OutstandingError struct {
	// Limit is the bound that was reached.
	Limit int
	// Retry is the time until the first of them expires.
	Retry time.Duration
}

// Error implements error.
func (e *OutstandingError) Error() string {
	return fmt.Sprintf("%d tickets are outstanding, the first expires in %v", e.Limit, e.Retry)
}

// claims is the signed content of a ticket.
type claims struct {
	_            struct{} `cbor:",toarray"`
	Agent        string
	Incarnation  string
	Serial       uint64
	Organisation string
	Model        string
	// Expiry is the time since the issuer's start, in nanoseconds.
	Expiry int64
}

// strict refuses duplicate keys, indefinite lengths and tags.
var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// parse splits a ticket into its claims, the signed bytes and the MAC.
func parse(text string) (c claims, signed, mac []byte, err error) {
	defer func() {
		if err != nil {
			err = &FormatError{Cause: err}
		}
	}()
	if len(text) > maxTicket {
		return claims{}, nil, nil, errLength
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return claims{}, nil, nil, err
	}
	if len(raw) <= 1+sha256.Size {
		return claims{}, nil, nil, errLength
	}
	if raw[0] != format {
		return claims{}, nil, nil, errVersion
	}
	signed, mac = raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if err = strict.Unmarshal(signed[1:], &c); err != nil {
		return claims{}, nil, nil, err
	}
	// base64 skips line breaks, which would give one ticket several texts.
	if encoding.EncodeToString(raw) != text {
		return claims{}, nil, nil, errCanonical
	}
	return c, signed, mac, nil
}

// Target returns the agent and incarnation that a ticket is for. It needs no
// secret and proves nothing: only that incarnation can tell whether it issued
// the ticket. The error is a [*FormatError].
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
	// outstanding holds the expiries of tickets that may still be used.
	outstanding expiries
}

// NewIssuer returns an issuer. The secret must be random and known to this
// incarnation only; now must carry a monotonic reading.
func NewIssuer(agent, incarnation string, secret []byte, now time.Time) *Issuer {
	return &Issuer{agent: agent, incarnation: incarnation, secret: secret, start: now}
}

// Issue returns a new ticket that can be used for the given life. The error is
// an [*OutstandingError] when [MaxOutstanding] is reached, or a [*FormatError]
// when the names are too long.
func (is *Issuer) Issue(organisation, model string, life time.Duration, now time.Time) (string, error) {
	since := int64(now.Sub(is.start))
	for len(is.outstanding) > 0 && is.outstanding[0].at <= since {
		heap.Pop(&is.outstanding)
	}
	if len(is.outstanding) >= MaxOutstanding {
		return "", &OutstandingError{Limit: MaxOutstanding, Retry: time.Duration(is.outstanding[0].at - since)}
	}
	c := claims{
		Agent: is.agent, Incarnation: is.incarnation, Serial: is.serial,
		Organisation: organisation, Model: model, Expiry: since + int64(life),
	}
	body, err := cbor.Marshal(c)
	if err != nil {
		return "", &FormatError{Cause: err}
	}
	signed := append([]byte{format}, body...)
	text := encoding.EncodeToString(is.sign(signed, signed))
	if len(text) > maxTicket {
		return "", &FormatError{Cause: errLength}
	}
	is.serial++
	heap.Push(&is.outstanding, expiry{at: c.Expiry, serial: c.Serial})
	return text, nil
}

// sign appends the MAC of signed to dst.
func (is *Issuer) sign(dst, signed []byte) []byte {
	h := hmac.New(sha256.New, is.secret)
	h.Write(signed)
	return h.Sum(dst)
}

// verify returns the claims of a ticket that this issuer made.
func (is *Issuer) verify(text string) (claims, *damasktrail.Refusal) {
	c, signed, mac, err := parse(text)
	if err != nil {
		// A later version of the agent may have issued and run it.
		return claims{}, refuse(damasktrail.ReasonMalformed, damasktrail.Unknown, err.Error())
	}
	if !hmac.Equal(mac, is.sign(nil, signed)) || c.Agent != is.agent || c.Incarnation != is.incarnation {
		return claims{}, refuse(damasktrail.ReasonIncarnation, damasktrail.Unknown,
			"the ticket was not issued by this incarnation of the agent")
	}
	return c, nil
}

// refuse returns a refusal after which another try cannot help.
func refuse(reason damasktrail.Reason, outcome damasktrail.Outcome, detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{Reason: reason, Outcome: outcome, Detail: detail}
}

// expiry is a serial with the end of its life, counted from the issuer's start.
type expiry struct {
	at     int64
	serial uint64
}

// expiries has the earliest expiry first. It implements heap.Interface.
type expiries []expiry

// Len implements heap.Interface.
func (e expiries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiries) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements heap.Interface.
func (e expiries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
