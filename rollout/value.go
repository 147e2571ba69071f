package rollout

import (
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/internal/revision"
	"damasktrail.dev/member"
)

// store gives access to the value in force of one topic. Versions are 0 before
// the first value.
type store struct {
	// version returns the version of the value in force.
	version func() uint64
	// encode returns the encoding of the value in force, which must exist.
	encode func() []byte
	// since returns the encoded differences that lead from a version to the value
	// in force. It returns nil when the history does not reach back to the version
	// or the differences exceed the size limit of a value.
	since func(from uint64) *frame.Change
	// apply applies an encoded difference to the value in force.
	apply func(difference []byte) (applyResult, error)
	// offer parses a whole value and puts it in force when it is newer.
	offer func(data []byte) (changed bool, err error)
}

// applyResult is the outcome of applying a difference.
type applyResult int

const (
	// adopted: the value in force changed.
	adopted applyResult = iota
	// notNewer: the version in force is the target version of the difference or a
	// higher one.
	notNewer
	// gap: the difference starts from a version other than the one in force.
	gap
	// inapplicable: the difference cannot be decoded, its operations do not fit the
	// value in force, or the result does not have the announced digest.
	inapplicable
)

// codec parses one kind of value and applies, encodes and decodes its
// differences.
type codec[V published, X revision.Difference] struct {
	parse  func(data []byte) (V, error)
	apply  func(V, X) (V, error)
	encode func(X) ([]byte, error)
	decode func([]byte) (X, error)
}

// published is a value that encodes itself.
type published interface {
	revision.Value
	Encode() []byte
}

func documentStore(h *document.Holder) store {
	return newStore(h, codec[*document.Document, document.Difference]{
		parse: document.Parse, apply: (*document.Document).Apply,
		encode: document.EncodeDifference, decode: document.DecodeDifference,
	})
}

func memberStore(h *member.Holder) store {
	return newStore(h, codec[*member.List, member.Difference]{
		parse: member.Parse, apply: (*member.List).Apply,
		encode: member.EncodeDifference, decode: member.DecodeDifference,
	})
}

func newStore[V published, X revision.Difference](h *revision.Holder[V, X], c codec[V, X]) store {
	return store{
		version: h.Number,
		encode:  func() []byte { return h.Load().Encode() },
		since: func(from uint64) *frame.Change {
			list, _ := h.Since(from)
			if len(list) == 0 {
				return nil
			}
			_, to := list[len(list)-1].Span()
			return encodeAll(frame.Change{From: from, To: to}, list, c.encode)
		},
		apply: func(difference []byte) (applyResult, error) {
			x, err := c.decode(difference)
			if err != nil {
				return inapplicable, err
			}
			from, to := x.Span()
			switch held := h.Number(); {
			case to <= held:
				return notNewer, nil
			case held == 0 || from != held:
				return gap, nil
			}
			next, err := c.apply(h.Load(), x)
			if err != nil {
				return inapplicable, nil //nolint:nilerr // The whole value repairs it.
			}
			return toApplyResult(h.Offer(next))
		},
		offer: func(data []byte) (bool, error) {
			v, err := c.parse(data)
			if err != nil {
				return false, err
			}
			return h.Offer(v)
		},
	}
}

func toApplyResult(changed bool, err error) (applyResult, error) {
	if changed {
		return adopted, err
	}
	return notNewer, err
}

// encodeAll returns c with the encoded differences. It returns nil, so that the
// whole value is sent instead, when a difference cannot be encoded or all of them
// together exceed the size limit of a value.
func encodeAll[X any](c frame.Change, list []X, encode func(X) ([]byte, error)) *frame.Change {
	size := 0
	for _, x := range list {
		data, err := encode(x)
		if size += len(data); err != nil || size > document.MaxBytes {
			return nil
		}
		c.Differences = append(c.Differences, data)
	}
	return &c
}
