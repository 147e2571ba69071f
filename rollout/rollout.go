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
	"damasktrail.dev/member"
)

// Message is a frame to send.
type Message struct {
	// Kind tells the type of Body.
	Kind frame.Kind
	// Body is one of the messages of package frame.
	Body any
}

// Rollout answers peers about the values that this process holds. It is safe
// for use by several goroutines.
type Rollout struct {
	documents *document.Holder
	// members is nil at an agent, which needs no VM list.
	members *member.Holder
	// count counts events by the name of a metric.
	count func(name string, n int64)
}

// New returns a rollout over the given holders. An agent passes no members.
func New(documents *document.Holder, members *member.Holder, count func(name string, n int64)) *Rollout {
	return &Rollout{documents: documents, members: members, count: count}
}

// Generation returns that of the document in force, 0 before the first.
func (r *Rollout) Generation() uint64 {
	return r.documents.Generation()
}

// Members returns the version of the VM list, 0 before the first and at agents.
func (r *Rollout) Members() uint64 {
	if r.members == nil {
		return 0
	}
	if l := r.members.Load(); l != nil {
		return l.Version
	}
	return 0
}

// Compare returns what to send to a peer that holds the given versions: pulls
// where the peer is ahead, values where it is behind. A peer with members 0 is
// an agent and is not sent the VM list.
func (r *Rollout) Compare(generation, members uint64) []Message {
	var res []Message
	switch own := r.Generation(); {
	case generation > own:
		res = append(res, pull(frame.TopicDocument, own))
	case generation < own:
		res = append(res, r.Since(frame.TopicDocument, generation)...)
	}
	if r.members == nil || members == 0 {
		return res
	}
	switch own := r.Members(); {
	case members > own:
		res = append(res, pull(frame.TopicVMs, own))
	case members < own:
		res = append(res, r.Since(frame.TopicVMs, members)...)
	}
	return res
}

func pull(t frame.Topic, from uint64) Message {
	return Message{Kind: frame.KindPull, Body: frame.Pull{Topic: t, From: from}}
}

// Since returns what leads from a version to the value held: differences, or
// the whole value when the history does not reach back.
func (r *Rollout) Since(t frame.Topic, from uint64) []Message {
	if t == frame.TopicVMs {
		if r.members == nil || r.Members() <= from {
			return nil
		}
		return []Message{whole(t, r.members.Load().Encode())}
	}
	held := r.documents.Load()
	if held == nil || held.Generation <= from {
		return nil
	}
	differences, found := r.documents.Since(from)
	if !found {
		r.count("rollout_wholes", 1)
		return []Message{whole(t, held.Encode())}
	}
	res := make([]Message, 0, len(differences))
	for _, x := range differences {
		data, err := document.EncodeDifference(x)
		if err != nil {
			return []Message{whole(t, held.Encode())}
		}
		res = append(res, Message{Kind: frame.KindChange, Body: frame.Change{From: x.From, To: x.To, Difference: data}})
	}
	r.count("rollout_changes", int64(len(res)))
	return res
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
	held := r.documents.Load()
	own := r.documents.Generation()
	if m.To <= own {
		return nil, nil // Another peer was faster.
	}
	if held == nil || m.From != own {
		r.count("rollout_gaps", 1)
		return []Message{pull(frame.TopicDocument, own)}, nil
	}
	x, err := document.DecodeDifference(m.Difference)
	if err != nil {
		return nil, err
	}
	next, err := held.Apply(x)
	if err != nil {
		// From 0 no history reaches, so the peer answers with the whole document.
		r.count("rollout_gaps", 1)
		return []Message{pull(frame.TopicDocument, 0)}, nil //nolint:nilerr // The whole document repairs it.
	}
	return nil, r.offerDocument(next)
}

// Offer takes a whole value, from a peer or from the platform.
func (r *Rollout) Offer(t frame.Topic, data []byte) error {
	if t == frame.TopicVMs {
		if r.members == nil {
			return nil
		}
		l, err := member.Parse(data)
		if err != nil {
			return err
		}
		_, err = r.members.Offer(l)
		return r.ignoreOlder(err)
	}
	d, err := document.Parse(data)
	if err != nil {
		return err
	}
	return r.offerDocument(d)
}

func (r *Rollout) offerDocument(d *document.Document) error {
	changed, err := r.documents.Offer(d)
	if changed {
		r.count("rollout_adopted", 1)
	}
	return r.ignoreOlder(err)
}

// ignoreOlder counts and drops the error for a value older than the one held:
// a stale platform and a late peer are expected.
func (r *Rollout) ignoreOlder(err error) error {
	var olderDocument *document.OlderError
	var olderList *member.OlderError
	if errors.As(err, &olderDocument) || errors.As(err, &olderList) {
		r.count("rollout_older", 1)
		return nil
	}
	var conflict *document.ConflictError
	if errors.As(err, &conflict) {
		r.count("rollout_conflicts", 1)
	}
	return err
}
