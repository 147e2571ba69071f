package rollout

import (
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/internal/revision"
	"damasktrail.dev/member"
)

// value is what the rollout does with one kind of published value. Versions
// are 0 before the first value.
type value struct {
	// version returns that of the value in force.
	version func() uint64
	// encode returns the whole value in force; there must be one.
	encode func() []byte
	// since returns the encoded differences that lead from a version to the
	// value in force; nil when there is no way or it is longer than the value.
	since func(from uint64) *frame.Change
	// apply applies an encoded difference to the value in force.
	apply func(difference []byte) (result, error)
	// offer puts a whole value in force when it is newer.
	offer func(data []byte) (changed bool, err error)
}

// result tells what became of a difference.
type result int

const (
	// adopted: the value in force changed.
	adopted result = iota
	// known: the value in force is that of the difference or a newer one.
	known
	// gap: the difference starts from a version that is not in force.
	gap
	// unfit: the difference does not lead to what it announced.
	unfit
)

// codec reads and writes one kind of value and its differences.
type codec[V published, X revision.Difference] struct {
	parse  func(data []byte) (V, error)
	apply  func(V, X) (V, error)
	encode func(X) ([]byte, error)
	decode func([]byte) (X, error)
}

// published is a value with an encoding.
type published interface {
	revision.Value
	Encode() []byte
}

func documentValue(h *document.Holder) value {
	return valueOf(h, codec[*document.Document, document.Difference]{
		parse: document.Parse, apply: (*document.Document).Apply,
		encode: document.EncodeDifference, decode: document.DecodeDifference,
	})
}

func memberValue(h *member.Holder) value {
	return valueOf(h, codec[*member.List, member.Difference]{
		parse: member.Parse, apply: (*member.List).Apply,
		encode: member.EncodeDifference, decode: member.DecodeDifference,
	})
}

func valueOf[V published, X revision.Difference](h *revision.Holder[V, X], c codec[V, X]) value {
	return value{
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
		apply: func(difference []byte) (result, error) {
			x, err := c.decode(difference)
			if err != nil {
				return unfit, err
			}
			from, to := x.Span()
			switch held := h.Number(); {
			case to <= held:
				return known, nil
			case held == 0 || from != held:
				return gap, nil
			}
			next, err := c.apply(h.Load(), x)
			if err != nil {
				return unfit, nil //nolint:nilerr // The whole value repairs it.
			}
			return offered(h.Offer(next))
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

func offered(changed bool, err error) (result, error) {
	if changed {
		return adopted, err
	}
	return known, err
}

// encodeAll returns c with the encoded differences. The whole value is
// preferred to differences that together exceed the largest value.
func encodeAll[X any](c frame.Change, list []X, encode func(X) ([]byte, error)) *frame.Change {
	size := 0
	for _, x := range list {
		data, err := encode(x)
		if size += len(data); err != nil || size > document.MaxSize {
			return nil
		}
		c.Differences = append(c.Differences, data)
	}
	return &c
}
