package suspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/frame"
	"damasktrail.dev/suspect"
)

// The features of the tests below: the first part of all prompts, a part that crashes
// endpoints, and two parts of sound prompts.
const (
	first, bad, left, right suspect.Feature = 1, 2, 3, 4
)

// played is evidence with a clock of its own. Each request is unlike all others.
type played struct {
	*suspect.Evidence
	now   time.Time
	whole suspect.Feature
	// crashID is the incarnation of the last endpoint that crashed.
	crashID uint32
	// owner says that this gateway is the one that tries refused features.
	owner bool
}

func newPlayed() *played {
	return &played{Evidence: suspect.NewEvidence(), now: time.Unix(1000, 0), whole: 1000}
}

func (p *played) request(parts ...suspect.Feature) suspect.Request {
	p.whole++
	return suspect.NewRequest(p.whole, parts)
}

// crash crashes another endpoint, at which the requests have no answer yet.
func (p *played) crash(requests ...suspect.Request) {
	p.crashID++
	for _, r := range requests {
		p.AddCrash(r, p.crashID, p.now)
	}
}

func (p *played) pass(d time.Duration) { p.now = p.now.Add(d) }

func (p *played) judge(parts ...suspect.Feature) suspect.Verdict {
	return p.Judge(p.request(parts...), p.now, func(suspect.Feature) bool { return p.owner })
}

func (p *played) answer(parts ...suspect.Feature) { p.AddAnswer(p.request(parts...), p.now) }

// Guards against endpoints that crash under a part again and again, and against refusing
// sound requests for what they share with those that crash.
func TestBlame(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name string
		play func(p *played)
		// parts are those of the request that is judged.
		parts []suspect.Feature
		want  suspect.Verdict
	}{
		{"two crashes", func(p *played) {
			for range 2 {
				p.crash(p.request(first, bad))
				p.pass(second)
			}
		}, []suspect.Feature{first, bad}, suspect.Accept},
		{"three crashes", func(p *played) {
			for range 3 {
				p.answer(first)
				p.crash(p.request(first, bad))
				p.pass(second)
			}
		}, []suspect.Feature{first, bad, left}, suspect.Refuse},
		{"first part, answered between", func(p *played) {
			for range 9 {
				p.answer(first)
				p.crash(p.request(first, bad))
				p.pass(second)
			}
		}, []suspect.Feature{first, left}, suspect.Accept},
		{"first part, answers too long ago, may be tried", func(p *played) {
			for range 5 {
				p.crash(p.request(first, bad))
				p.pass(second)
			}
		}, []suspect.Feature{first, left}, suspect.Try},
		{"first part, answered after its trial", func(p *played) {
			for range 5 {
				p.crash(p.request(first, bad))
				p.pass(second)
			}
			p.judge(first, left)
			p.answer(first, left)
		}, []suspect.Feature{first, right}, suspect.Accept},
		{"request beside the one that crashes", func(p *played) {
			for range 5 {
				p.crash(p.request(bad), p.request(left))
				p.pass(second)
				p.crash(p.request(bad), p.request(right))
				p.pass(second)
			}
		}, []suspect.Feature{left, right}, suspect.Accept},
		{"many endpoints down at once", func(p *played) {
			for range 12 {
				p.crash(p.request(first, left))
				p.pass(10 * time.Millisecond)
			}
		}, []suspect.Feature{first, left}, suspect.Accept},
		{"endpoints that crash for their own reasons amid answers", func(p *played) {
			for range 30 {
				p.answer(first, left)
				p.pass(300 * time.Millisecond)
				p.crash(p.request(first, left))
			}
		}, []suspect.Feature{first, left}, suspect.Accept},
		{"two bad parts", func(p *played) {
			for range 4 {
				p.crash(p.request(bad))
				p.pass(second)
				p.crash(p.request(right))
				p.pass(second)
			}
		}, []suspect.Feature{right}, suspect.Refuse},
		{"less frequent of two bad parts", func(p *played) {
			for i := range 12 {
				p.crash(p.request(bad))
				p.pass(second)
				if i%4 == 0 {
					p.crash(p.request(right))
					p.pass(second)
				}
			}
		}, []suspect.Feature{right}, suspect.Refuse},
		{"sound again", func(p *played) {
			for range 3 {
				p.crash(p.request(bad))
				p.pass(second)
			}
			p.answer(bad)
		}, []suspect.Feature{bad}, suspect.Accept},
		{"bad again", func(p *played) {
			p.answer(bad)
			p.pass(2 * second)
			for range 3 {
				p.crash(p.request(bad))
				p.pass(second)
			}
		}, []suspect.Feature{bad}, suspect.Refuse},
		{"long ago, tried by another gateway", func(p *played) {
			for range 3 {
				p.crash(p.request(bad))
				p.pass(second)
			}
			p.pass(suspect.ProbeInterval)
		}, []suspect.Feature{bad}, suspect.Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlayed()
			c.play(p)
			require.Equal(t, c.want, p.judge(c.parts...))
		})
	}
}

// Guards against a feature that stays refused although it was in the crashes by chance,
// and against trials that crash many endpoints.
func TestTrials(t *testing.T) {
	p := newPlayed()
	p.owner = true
	for range 3 {
		p.crash(p.request(bad))
		p.pass(500 * time.Millisecond)
	}
	minute, hour := 0, 0
	for begin := p.now; p.now.Sub(begin) < time.Hour; p.pass(250 * time.Millisecond) {
		if p.judge(bad) != suspect.Try {
			continue
		}
		hour++
		if p.now.Sub(begin) < time.Minute {
			minute++
		}
		p.pass(100 * time.Millisecond)
		p.crash(p.request(bad))
	}
	require.Equal(t, 2, minute, "trials in the first minute")
	require.Equal(t, 7, hour, "trials in an hour")

	// An outage of all endpoints, one after the other.
	p = newPlayed()
	p.owner = true
	for range 9 {
		p.crash(p.request(first, left), p.request(first, left))
		p.pass(300 * time.Millisecond)
	}
	require.Equal(t, suspect.Refuse, p.judge(first, left))
	p.pass(3 * time.Second)
	require.Equal(t, suspect.Try, p.judge(first, left))
	p.pass(time.Second)
	require.Equal(t, suspect.Try, p.judge(first, left), "the first trial had no outcome")
	p.answer(first, left)
	require.Equal(t, suspect.Accept, p.judge(first, left))
}

// Guards against endpoints crashed by the trials of entries that take over from one
// another, such as after restarts.
func TestTrialsOfSuccessors(t *testing.T) {
	p := newPlayed()
	p.owner = true
	for range 3 {
		p.crash(p.request(bad))
		p.pass(500 * time.Millisecond)
	}
	trials := 0
	for i := range 240 {
		p.pass(250 * time.Millisecond)
		if i%20 == 0 {
			successor := newPlayed()
			successor.owner, successor.now, successor.whole, successor.crashID = true, p.now, p.whole, p.crashID
			successor.Merge(p.Report(p.now, 12), p.now)
			p = successor
		}
		if p.judge(bad) == suspect.Try {
			trials++
			p.pass(100 * time.Millisecond)
			p.crash(p.request(bad))
		}
	}
	require.Equal(t, 2, trials, "trials in a minute with a restart every 5 s")
}

// Guards against one request that crashes endpoints, is sent again with the same body,
// and has no part in common with others.
func TestBlameWholeRequest(t *testing.T) {
	p := newPlayed()
	r := p.request(left, right)
	for range 2 {
		require.Equal(t, suspect.Accept, p.Judge(r, p.now, nil))
		p.crash(r)
		p.pass(time.Second)
	}
	require.Equal(t, suspect.Refuse, p.Judge(r, p.now, nil))
	require.Equal(t, suspect.Accept, p.judge(left, right), "another request with its parts")
	require.True(t, p.Suspected(r))
}

// Guards against a caller that shuts out prompts of others by adding their parts to
// requests that crash endpoints: the first trial of such a part clears it.
func TestForeignPartInCrashingRequests(t *testing.T) {
	p := newPlayed()
	for range 8 {
		p.crash(p.request(bad, left))
		p.pass(time.Second)
	}
	require.Equal(t, suspect.Refuse, p.judge(bad, left))
	require.Equal(t, suspect.Try, p.judge(left, right))
	require.Equal(t, suspect.Refuse, p.judge(left, right), "one at a time")
	p.answer(left, right)
	require.Equal(t, suspect.Accept, p.judge(left, right))
	require.Equal(t, suspect.Refuse, p.judge(bad, right))
}

// Guards against gateways that learn nothing from each other's crashes and answers, and
// against counting a crash twice that two of them report.
func TestMergeEvidence(t *testing.T) {
	a, b := newPlayed(), newPlayed()
	tell := func(from, to *played) {
		to.now = to.now.Add(time.Hour) // The clocks of two VMs may differ.
		to.Merge(from.Report(from.now, 12), to.now)
		to.now = to.now.Add(-time.Hour)
	}
	b.now = b.now.Add(time.Hour)
	for range 2 {
		a.crash(a.request(bad))
		a.pass(time.Second)
	}
	for range 3 {
		tell(a, b)
		tell(b, a)
	}
	require.Equal(t, suspect.Accept, a.judge(bad))
	a.crash(a.request(bad))
	b.Merge(a.Report(a.now, 12), b.now)
	require.Equal(t, suspect.Refuse, b.judge(bad))
	b.pass(2 * time.Second)
	a.pass(2 * time.Second)
	b.answer(bad)
	a.Merge(b.Report(b.now, 12), a.now)
	require.Equal(t, suspect.Accept, a.judge(bad))
}

// Guards against prompts of very many parts that take processor time and memory, and
// whose first or last shared part is not looked at.
func TestManyParts(t *testing.T) {
	var parts []suspect.Feature
	for i := range suspect.Feature(5000) {
		parts = append(parts, i)
	}
	p := newPlayed()
	for range 3 {
		p.crash(p.request(parts...))
		p.pass(time.Second)
	}
	require.Len(t, p.Report(p.now, 1<<20), 64+3)
	require.Equal(t, suspect.Refuse, p.judge(parts...))
	p.answer(parts[0], parts[1])
	require.Equal(t, suspect.Refuse, p.judge(parts...))
	require.Equal(t, suspect.Try, p.judge(parts[4999]))
	require.Equal(t, suspect.Accept, p.judge(parts[2500]))
}

// Guards against memory and reports that grow with the parts that callers make up, and
// against losing the part that matters among them.
func TestBoundedEvidence(t *testing.T) {
	p := newPlayed()
	made := suspect.Feature(1 << 20)
	// crashWithMadeUp crashes an endpoint at which ten requests with 64 parts of their own
	// wait beside the given ones.
	crashWithMadeUp := func(requests ...suspect.Request) {
		for range 10 {
			var parts []suspect.Feature
			for range 64 {
				made++
				parts = append(parts, made)
			}
			requests = append(requests, p.request(parts...))
		}
		p.crash(requests...)
		p.pass(time.Second)
	}
	for range 3 {
		crashWithMadeUp(p.request(bad))
	}
	for range 20 {
		crashWithMadeUp()
	}
	for range 10000 {
		made++
		p.answer(made)
	}
	require.Equal(t, suspect.Refuse, p.judge(bad))
	all := p.Report(p.now, 1<<20)
	require.LessOrEqual(t, len(all), 4096)
	for range 20 {
		sample := p.Report(p.now, 12)
		require.Len(t, sample, 12)
		require.Equal(t, bad, sample[0].Feature)
		require.LessOrEqual(t, len(sample[0].Crashes), 4)
	}
	p.pass(time.Hour)
	p.Expire(p.now)
	require.Empty(t, p.Report(p.now, 1<<20))
}

// Guards against a report with absurd values that changes what is known or ends the
// process.
func TestMergeAbsurdReports(t *testing.T) {
	p := newPlayed()
	const most = 1<<63 - 1
	for _, age := range []int64{-1, -most, most, most / 1000000} {
		p.Merge([]frame.Evidence{
			{Feature: bad, AnsweredMillis: age, Crashes: []frame.EvidenceCrash{{ID: 1, AgeMillis: age}, {ID: 2, AgeMillis: age}, {ID: 3, AgeMillis: age}}},
			{Feature: left},
		}, p.now)
	}
	require.Empty(t, p.Report(p.now, 12))
	require.Equal(t, suspect.Accept, p.judge(bad))
}
