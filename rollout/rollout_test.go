package rollout_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/member"
	"damasktrail.dev/rollout"
)

var topics = []frame.Topic{frame.TopicDocument, frame.TopicVMs}

// valueJSON returns a value in its published JSON form. Variants of the same
// version differ in content.
func valueJSON(topic frame.Topic, version uint64, variant int) []byte {
	if topic == frame.TopicVMs {
		return fmt.Appendf(nil, `{"version": %d, "vms": [{"name": "e", "role": "entry", "address": "10.0.0.1:1", "domain": "d"},
			{"name": "a%d", "set": "s", "address": "10.0.0.%d:1", "domain": "d"}]}`, version, version%3, variant)
	}
	return fmt.Appendf(nil, `{"generation": %d, "tiers": [{"name": "t", "rank": 0, "deadline": "%ds"}],
		"domains": [{"name": "d%d", "region": "r"}]}`, version, variant, version%3)
}

// process is a rollout with its holders and metrics.
type process struct {
	*rollout.Rollout
	documents *document.Holder
	members   *member.Holder
	counts    map[string]int64
}

func newProcess() *process {
	res := &process{documents: document.NewHolder(), members: member.NewHolder(), counts: map[string]int64{}}
	res.Rollout = rollout.New(res.documents, res.members, func(name string, n int64) { res.counts[name] += n })
	return res
}

// offerVersions offers whole values of the given versions and returns p.
func (p *process) offerVersions(t require.TestingT, topic frame.Topic, versions ...uint64) *process {
	for _, v := range versions {
		require.NoError(t, p.Offer(topic, valueJSON(topic, v, 1)))
	}
	return p
}

func (p *process) version(topic frame.Topic) uint64 {
	if topic == frame.TopicVMs {
		return p.VMListVersion()
	}
	return p.Generation()
}

func (p *process) digest(topic frame.Topic) (res [32]byte) {
	if l := p.members.Load(); topic == frame.TopicVMs && l != nil {
		return l.Digest()
	}
	if d := p.documents.Load(); topic == frame.TopicDocument && d != nil {
		return d.Digest()
	}
	return res
}

// encodeFrame encodes a message and returns it as the peer reads it.
func encodeFrame(t require.TestingT, m rollout.Message) frame.Raw {
	data, err := frame.Append(nil, m.Kind, m.Body)
	require.NoError(t, err)
	res, err := frame.Read(bytes.NewReader(data))
	require.NoError(t, err)
	return res
}

// deliver passes messages to p, which must accept them, and returns its answers.
func (p *process) deliver(t require.TestingT, messages ...rollout.Message) []rollout.Message {
	var res []rollout.Message
	for _, m := range messages {
		answers, err := p.Receive(encodeFrame(t, m))
		require.NoError(t, err)
		res = append(res, answers...)
	}
	return res
}

// Guards against a process that adopts a difference which does not start from
// its version, returns to an older version, or does not pull missing changes.
func TestReceive(t *testing.T) {
	pull := func(topic frame.Topic, from uint64) []rollout.Message {
		return []rollout.Message{{Kind: frame.KindPull, Body: frame.Pull{Topic: topic, From: from}}}
	}
	change := func(topic frame.Topic, versions ...uint64) frame.Change {
		m := newProcess().offerVersions(t, topic, versions...).Since(topic, versions[0])
		require.Len(t, m, 1)
		return m[0].Body.(frame.Change)
	}
	for _, topic := range topics {
		whole := func(version uint64, variant int) frame.Whole {
			return frame.Whole{Topic: topic, Data: valueJSON(topic, version, variant)}
		}
		damaged := change(topic, 3, 4)
		wrongDigest := bytes.Clone(damaged.Differences[0])
		digestAt := bytes.Index(wrongDigest, append([]byte("digest"), 0x58, 0x20)) // CBOR header of a byte string of 32 bytes
		require.Positive(t, digestAt)
		wrongDigest[digestAt+8]++
		for name, c := range map[string]struct {
			held    []uint64
			body    any
			version uint64
			answers []rollout.Message
			refused bool
			count   string
		}{
			"next":                {[]uint64{3}, change(topic, 3, 4), 4, nil, false, "rollout_adopted"},
			"several":             {[]uint64{3}, change(topic, 3, 4, 6, 7), 7, nil, false, "rollout_adopted"},
			"known in part":       {[]uint64{3, 4}, change(topic, 3, 4, 6), 6, nil, false, "rollout_adopted"},
			"duplicate":           {[]uint64{3, 4}, change(topic, 3, 4), 4, nil, false, ""},
			"older":               {[]uint64{3, 4, 5}, change(topic, 3, 4), 5, nil, false, ""},
			"gap":                 {[]uint64{3}, change(topic, 4, 5), 3, pull(topic, 3), false, "rollout_gaps"},
			"other way":           {[]uint64{3, 4}, change(topic, 3, 5), 4, pull(topic, 4), false, "rollout_gaps"},
			"nothing held":        {nil, change(topic, 1, 2), 0, pull(topic, 0), false, "rollout_gaps"},
			"wrong digest":        {[]uint64{3}, frame.Change{Topic: topic, From: 3, To: 4, Differences: [][]byte{wrongDigest}}, 3, pull(topic, 0), false, "rollout_gaps"},
			"no difference":       {[]uint64{3}, frame.Change{Topic: topic, From: 3, To: 4, Differences: [][]byte{{1}}}, 3, nil, true, "rollout_refusals"},
			"whole after a gap":   {[]uint64{3}, whole(9, 1), 9, nil, false, "rollout_adopted"},
			"first whole":         {nil, whole(1, 1), 1, nil, false, "rollout_adopted"},
			"same whole":          {[]uint64{3}, whole(3, 1), 3, nil, false, ""},
			"older whole":         {[]uint64{3}, whole(2, 1), 3, nil, false, "rollout_older"},
			"conflict":            {[]uint64{3}, whole(3, 2), 3, nil, true, "rollout_conflicts"},
			"invalid whole":       {[]uint64{3}, frame.Whole{Topic: topic, Data: []byte("{}")}, 3, nil, true, "rollout_refusals"},
			"pull of nothing new": {[]uint64{3}, frame.Pull{Topic: topic, From: 3}, 3, nil, false, ""},
			"pull":                {[]uint64{3, 4, 5}, frame.Pull{Topic: topic, From: 4}, 5, newProcess().offerVersions(t, topic, 3, 4, 5).Since(topic, 4), false, "rollout_changes"},
			"pull beyond history": {[]uint64{3, 4}, frame.Pull{Topic: topic, From: 2}, 4, newProcess().offerVersions(t, topic, 4).Since(topic, 0), false, "rollout_wholes"},
			"unknown topic":       {[]uint64{3}, frame.Pull{Topic: "x", From: 2}, 3, nil, true, "rollout_refusals"},
		} {
			t.Run(string(topic)+"/"+name, func(t *testing.T) {
				p := newProcess().offerVersions(t, topic, c.held...)
				clear(p.counts)
				kinds := map[string]frame.Kind{"frame.Change": frame.KindChange, "frame.Whole": frame.KindWhole, "frame.Pull": frame.KindPull}
				answers, err := p.Receive(encodeFrame(t, rollout.Message{Kind: kinds[fmt.Sprintf("%T", c.body)], Body: c.body}))
				require.Equal(t, c.refused, err != nil, err)
				require.Equal(t, c.version, p.version(topic))
				require.Equal(t, c.answers, answers)
				if c.count == "" {
					require.Empty(t, p.counts)
				} else {
					require.Positive(t, p.counts[c.count], "%v", p.counts)
				}
			})
		}
	}
}

// Guards against a whole value sent where differences suffice, and against an
// agent that receives the VM list.
func TestCompare(t *testing.T) {
	agent := rollout.New(document.NewHolder(), nil, func(string, int64) {})
	require.Empty(t, agent.Compare(frame.TopicVMs, 9))
	require.Error(t, agent.Offer(frame.TopicVMs, valueJSON(frame.TopicVMs, 1, 1)))
	for _, topic := range topics {
		var versions []uint64
		for v := range uint64(70) {
			versions = append(versions, v+1)
		}
		p := newProcess().offerVersions(t, topic, versions...)
		for heldVersion, want := range map[uint64]frame.Kind{
			0: frame.KindWhole, 5: frame.KindWhole, 6: frame.KindChange, 69: frame.KindChange, 71: frame.KindPull,
		} {
			got := p.Compare(topic, heldVersion)
			require.Len(t, got, 1)
			require.Equal(t, want, got[0].Kind, "from %d", heldVersion)
		}
		require.Empty(t, p.Compare(topic, 70))
		behind := newProcess().offerVersions(t, topic, versions[:10]...)
		require.Empty(t, behind.deliver(t, p.Compare(topic, 10)...))
		require.Equal(t, p.digest(topic), behind.digest(topic))
	}
}

// Guards against versions that decrease and against processes that do not
// converge after messages are lost, duplicated and reordered.
func TestExchange(t *testing.T) {
	type envelope struct {
		to, from int
		message  rollout.Message
	}
	rapid.Check(t, func(t *rapid.T) {
		var processes []*process
		for range 3 {
			processes = append(processes, newProcess())
		}
		var inFlight []envelope
		published := map[frame.Topic]uint64{}
		lastVersions := map[int]map[frame.Topic]uint64{0: {}, 1: {}, 2: {}}
		enqueue := func(from, to int, messages []rollout.Message) {
			for _, m := range messages {
				inFlight = append(inFlight, envelope{to: to, from: from, message: m})
			}
		}
		// heartbeat compares the sender's versions at the receiver, which answers.
		heartbeat := func(from, to int) {
			for _, topic := range topics {
				enqueue(to, from, processes[to].Compare(topic, processes[from].version(topic)))
			}
		}
		deliver := func(i int) {
			s := inFlight[i]
			enqueue(s.to, s.from, processes[s.to].deliver(t, s.message))
		}
		pick := func(t *rapid.T) int {
			if len(inFlight) == 0 {
				t.Skip("no message is in flight")
			}
			return rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
		}
		index := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				topic := rapid.SampledFrom(topics).Draw(t, "topic")
				published[topic]++
				processes[index.Draw(t, "reader")].offerVersions(t, topic, published[topic])
			},
			"stale platform": func(t *rapid.T) {
				topic := rapid.SampledFrom(topics).Draw(t, "topic")
				if published[topic] == 0 {
					t.Skip("no version has been published")
				}
				processes[index.Draw(t, "reader")].offerVersions(t, topic, rapid.Uint64Range(1, published[topic]).Draw(t, "version"))
			},
			"beat":    func(t *rapid.T) { heartbeat(index.Draw(t, "from"), index.Draw(t, "to")) },
			"deliver": func(t *rapid.T) { i := pick(t); deliver(i); inFlight = slices.Delete(inFlight, i, i+1) },
			"double":  func(t *rapid.T) { deliver(pick(t)) },
			"lose":    func(t *rapid.T) { i := pick(t); inFlight = slices.Delete(inFlight, i, i+1) },
			"": func(t *rapid.T) {
				for i, p := range processes {
					for _, topic := range topics {
						require.GreaterOrEqual(t, p.version(topic), lastVersions[i][topic])
						lastVersions[i][topic] = p.version(topic)
					}
				}
			},
		})
		// In each round all processes send heartbeats and all messages arrive. One
		// round brings a value to each peer; the second covers a process that first
		// needs the difference of another process.
		for range 2 {
			for from := range processes {
				for to := range processes {
					heartbeat(from, to)
				}
			}
			for n := 0; len(inFlight) > 0; n++ {
				require.Less(t, n, 10_000, "messages trigger further messages without end")
				deliver(0)
				inFlight = inFlight[1:]
			}
		}
		for _, topic := range topics {
			for _, p := range processes {
				require.Equal(t, published[topic], p.version(topic))
				require.Equal(t, processes[0].digest(topic), p.digest(topic))
			}
		}
	})
}

// BenchmarkReceive measures the receipt of a list of 12,540 VMs with one VM replaced
// by a process that holds the previous list, as a whole value and as a difference.
func BenchmarkReceive(b *testing.B) {
	var vms []member.VM
	for i := range 12540 {
		vms = append(vms, member.VM{
			Name: fmt.Sprintf("a%05d", i), Set: fmt.Sprintf("m%d-r%d", i%24, i%7), Domain: fmt.Sprintf("r%d-d%d", i%7, i%3),
			Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, 1+i%250),
		})
	}
	before, err := member.New(1, vms)
	require.NoError(b, err)
	vms[6000].Name, vms[6000].Address = "a99999", "10.9.9.9:7000"
	after, err := member.New(2, vms)
	require.NoError(b, err)
	sender := newProcess()
	for _, l := range []*member.List{before, after} {
		_, err := sender.members.Offer(l)
		require.NoError(b, err)
	}
	for from, name := range []string{"whole", "change"} {
		b.Run(name, func(b *testing.B) {
			messages := sender.Since(frame.TopicVMs, uint64(from))
			require.Len(b, messages, 1)
			data := encodeFrame(b, messages[0])
			for b.Loop() {
				p := newProcess()
				_, err := p.members.Offer(before)
				require.NoError(b, err)
				_, err = p.Receive(data)
				require.NoError(b, err)
				require.Equal(b, uint64(2), p.VMListVersion())
			}
			b.ReportMetric(float64(len(data.Body)+5), "bytes/frame")
		})
	}
}
