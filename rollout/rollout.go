// Package rollout replicates documents and VM lists between processes. Peers
// compare versions, and the peer with the newer version sends the differences,
// or the whole value where its history does not reach back. The package sends
// nothing by itself: it returns the messages with which to answer a peer. Start
// from [New].
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
	// Kind determines the type of Body.
	Kind frame.Kind
	// Body is one of the messages of package frame.
	Body any
}

// TopicError reports a message about a topic whose value this process does not
// hold.
type TopicError struct {
	// Topic is the topic of the message.
	Topic frame.Topic
}

// Error implements error.
func (e *TopicError) Error() string {
	return fmt.Sprintf("topic %q is not held here", string(e.Topic))
}

// Rollout synchronises the values of this process with those of its peers. It is
// safe for use by several goroutines.
type Rollout struct {
	stores map[frame.Topic]store
	// count adds n to the metric with the given name.
	count func(name string, n int64)
}

// New returns a rollout of the values in the given holders. An agent passes nil
// for members, since it needs no VM list.
func New(documents *document.Holder, members *member.Holder, count func(name string, n int64)) *Rollout {
	stores := map[frame.Topic]store{frame.TopicDocument: documentStore(documents)}
	if members != nil {
		stores[frame.TopicVMs] = memberStore(members)
	}
	return &Rollout{stores: stores, count: count}
}

// Generation returns the generation of the document in force, or 0 before the
// first document.
func (r *Rollout) Generation() uint64 {
	return r.version(frame.TopicDocument)
}

// VMListVersion returns the version of the VM list in force; it is 0 before the first
// list and always 0 at agents.
func (r *Rollout) VMListVersion() uint64 {
	return r.version(frame.TopicVMs)
}

func (r *Rollout) version(t frame.Topic) uint64 {
	if s, found := r.stores[t]; found {
		return s.version()
	}
	return 0
}

// Compare returns the messages to send to a peer that holds the given version of
// a value, where 0 stands for no value: a pull when the peer has a newer version,
// or the update of [Rollout.Since] when it has an older one.
func (r *Rollout) Compare(t frame.Topic, version uint64) []Message {
	s, found := r.stores[t]
	if !found {
		return nil
	}
	if own := s.version(); version > own {
		return []Message{pull(t, own)}
	}
	return r.Since(t, version)
}

func pull(t frame.Topic, from uint64) Message {
	return Message{Kind: frame.KindPull, Body: frame.Pull{Topic: t, From: from}}
}

// Since returns one message that updates a peer from the given version to the
// value in force: all differences, or the whole value when the history does not
// reach back to that version. A separate message for each difference could fill
// the send queue of a control stream, which closes the connection.
func (r *Rollout) Since(t frame.Topic, from uint64) []Message {
	s, found := r.stores[t]
	if !found {
		return nil
	}
	if s.version() <= from {
		return nil
	}
	c := s.since(from)
	if c == nil {
		r.count("rollout_wholes", 1)
		return []Message{whole(t, s.encode())}
	}
	c.Topic = t
	r.count("rollout_changes", int64(len(c.Differences)))
	return []Message{{Kind: frame.KindChange, Body: *c}}
}

func whole(t frame.Topic, data []byte) Message {
	return Message{Kind: frame.KindWhole, Body: frame.Whole{Topic: t, Data: data}}
}

// Receive handles a pull, change or whole frame from a peer and returns the
// messages to answer with. An invalid or conflicting value is an error, and the
// value in force then stays.
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
		if _, found := r.stores[m.Topic]; !found {
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
	s, found := r.stores[m.Topic]
	if !found {
		return nil, &TopicError{Topic: m.Topic}
	}
	if m.To <= s.version() {
		return nil, nil // Another peer already sent this version or a newer one.
	}
	for _, x := range m.Differences {
		res, err := s.apply(x)
		if err = r.ignoreOlder(err); err != nil {
			return nil, err
		}
		switch res {
		case adopted:
			r.count("rollout_adopted", 1)
		case notNewer:
		case gap:
			r.count("rollout_gaps", 1)
			return []Message{pull(m.Topic, s.version())}, nil
		case inapplicable:
			// No history reaches back to 0, so the peer answers with the whole value.
			r.count("rollout_gaps", 1)
			return []Message{pull(m.Topic, 0)}, nil
		}
	}
	return nil, nil
}

// Offer puts a whole value from a peer or from the platform in force if it is
// newer. An older value is counted and otherwise ignored.
func (r *Rollout) Offer(t frame.Topic, data []byte) error {
	s, found := r.stores[t]
	if !found {
		return &TopicError{Topic: t}
	}
	changed, err := s.offer(data)
	if changed {
		r.count("rollout_adopted", 1)
	}
	return r.ignoreOlder(err)
}

// ignoreOlder counts and drops a [*revision.OlderError], since stale reads from
// the platform and late messages from peers are expected. It counts conflicts and
// returns them and all other errors.
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
