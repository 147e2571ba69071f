// Package rollout brings documents and VM lists from process to process. Peers
// compare versions, differences travel to the one that is behind, and a gap is
// closed by the whole value. It sends nothing by itself: it answers what a peer
// sent. Start from [New].
package rollout

import (
	"errors"
	"fmt"

	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/internal/revision"
	"damasktrail.dev/member"
)

// Message is a frame to send.
type Message struct {
	// Kind tells the type of Body.
	Kind frame.Kind
	// Body is one of the messages of package frame.
	Body any
}

// TopicError says that a message is about a value that this process does not
// hold.
type TopicError struct {
	// Topic is that of the message.
	Topic frame.Topic
}

// Error implements error.
func (e *TopicError) Error() string {
	return fmt.Sprintf("topic %q is not held here", string(e.Topic))
}

// Rollout answers peers about the values that this process holds. It is safe
// for use by several goroutines.
type Rollout struct {
	values map[frame.Topic]value
	// count counts events by the name of a metric.
	count func(name string, n int64)
}

// New returns a rollout over the given holders. An agent passes no members,
// since it needs no VM list.
func New(documents *document.Holder, members *member.Holder, count func(name string, n int64)) *Rollout {
	values := map[frame.Topic]value{frame.TopicDocument: documentValue(documents)}
	if members != nil {
		values[frame.TopicVMs] = memberValue(members)
	}
	return &Rollout{values: values, count: count}
}

// Generation returns that of the document in force, 0 before the first.
func (r *Rollout) Generation() uint64 {
	return r.version(frame.TopicDocument)
}

// Members returns the version of the VM list, 0 before the first and at agents.
func (r *Rollout) Members() uint64 {
	return r.version(frame.TopicVMs)
}

func (r *Rollout) version(t frame.Topic) uint64 {
	if v, found := r.values[t]; found {
		return v.version()
	}
	return 0
}

// Compare returns what to send to a peer that holds a version of a value, 0 for
// none: a pull when the peer is ahead, the way from there when it is behind.
func (r *Rollout) Compare(t frame.Topic, version uint64) []Message {
	v, found := r.values[t]
	if !found {
		return nil
	}
	if own := v.version(); version > own {
		return []Message{pull(t, own)}
	}
	return r.Since(t, version)
}

func pull(t frame.Topic, from uint64) Message {
	return Message{Kind: frame.KindPull, Body: frame.Pull{Topic: t, From: from}}
}

// Since returns what leads from a version to the value held, in one message:
// all differences, or the whole value when the history does not reach back. One
// message for each difference could fill the queue of a control stream, which
// closes the connection.
func (r *Rollout) Since(t frame.Topic, from uint64) []Message {
	v, found := r.values[t]
	if !found {
		return nil
	}
	if v.version() <= from {
		return nil
	}
	c := v.since(from)
	if c == nil {
		r.count("rollout_wholes", 1)
		return []Message{whole(t, v.encode())}
	}
	c.Topic = t
	r.count("rollout_changes", int64(len(c.Differences)))
	return []Message{{Kind: frame.KindChange, Body: *c}}
}

func whole(t frame.Topic, data []byte) Message {
	return Message{Kind: frame.KindWhole, Body: frame.Whole{Topic: t, Data: data}}
}

// Receive takes a pull, change or whole from a peer and returns the answers to
// send. A value that cannot be used is an error; the one in force then stays.
func (r *Rollout) Receive(raw frame.Raw) (res []Message, err error) {
	defer func() {
		if err != nil {
			r.count("rollout_refusals", 1)
			err = fmt.Errorf("receive rollout frame of kind %d: %w", raw.Kind, err)
		}
	}()
	switch raw.Kind {
	case frame.KindPull:
		m, err := frame.Decode[frame.Pull](raw, frame.KindPull)
		if err != nil {
			return nil, err
		}
		if _, found := r.values[m.Topic]; !found {
			return nil, &TopicError{Topic: m.Topic}
		}
		return r.Since(m.Topic, m.From), nil
	case frame.KindChange:
		m, err := frame.Decode[frame.Change](raw, frame.KindChange)
		if err != nil {
			return nil, err
		}
		return r.change(m)
	case frame.KindWhole:
		m, err := frame.Decode[frame.Whole](raw, frame.KindWhole)
		if err != nil {
			return nil, err
		}
		return nil, r.Offer(m.Topic, m.Data)
	default:
		return nil, &frame.KindError{Want: frame.KindChange, Got: raw.Kind}
	}
}

func (r *Rollout) change(m frame.Change) ([]Message, error) {
	v, found := r.values[m.Topic]
	if !found {
		return nil, &TopicError{Topic: m.Topic}
	}
	if m.To <= v.version() {
		return nil, nil // Another peer was faster.
	}
	for _, x := range m.Differences {
		res, err := v.apply(x)
		if err = r.ignoreOlder(err); err != nil {
			return nil, err
		}
		switch res {
		case adopted:
			r.count("rollout_adopted", 1)
		case known:
		case gap:
			r.count("rollout_gaps", 1)
			return []Message{pull(m.Topic, v.version())}, nil
		case unfit:
			// From 0 no history reaches, so the peer answers with the whole value.
			r.count("rollout_gaps", 1)
			return []Message{pull(m.Topic, 0)}, nil
		}
	}
	return nil, nil
}

// Offer takes a whole value, from a peer or from the platform.
func (r *Rollout) Offer(t frame.Topic, data []byte) error {
	v, found := r.values[t]
	if !found {
		return &TopicError{Topic: t}
	}
	changed, err := v.offer(data)
	if changed {
		r.count("rollout_adopted", 1)
	}
	return r.ignoreOlder(err)
}

// ignoreOlder counts and drops the error for a value older than the one held:
// a stale platform and a late peer are expected.
func (r *Rollout) ignoreOlder(err error) error {
	var older *revision.OlderError
	if errors.As(err, &older) {
		r.count("rollout_older", 1)
		return nil
	}
	var conflict *revision.ConflictError
	if errors.As(err, &conflict) {
		r.count("rollout_conflicts", 1)
	}
	return err
}
