package suspect_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/frame"
	"damasktrail.dev/suspect"
)

// Guards against counting one crash twice when two peers report it, and against
// losing one of two crashes that were reported at the same time.
func TestMergeCountsDistinctCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		reported []frame.Suspect
		news     int
		crashes  int
	}{
		{"first report", []frame.Suspect{{Fingerprint: 7, Crashes: []uint64{1}}}, 1, 1},
		{"same report again", []frame.Suspect{{Fingerprint: 7, Crashes: []uint64{1}}, {Fingerprint: 7, Crashes: []uint64{1}}}, 1, 1},
		{"two crashes", []frame.Suspect{{Fingerprint: 7, Crashes: []uint64{1}}, {Fingerprint: 7, Crashes: []uint64{2}}}, 2, 2},
		{"expired report", []frame.Suspect{{Fingerprint: 7, Crashes: []uint64{1}, AgeMillis: suspect.Retention.Milliseconds()}}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := suspect.New()
			require.Len(t, l.Merge(c.reported, now), c.news)
			require.Equal(t, c.crashes, l.Crashes(7, now))
			require.Zero(t, l.Crashes(7, now.Add(suspect.Retention)))
		})
	}
}

// Guards against reports that omit a new crash in favour of old ones, and against
// old records that are never sent to a new process.
func TestSample(t *testing.T) {
	now := time.Unix(1000, 0)
	l := suspect.New()
	for f := range uint64(100) {
		l.Add(f, 1, now.Add(time.Duration(f)*time.Millisecond))
	}
	now = now.Add(time.Second)
	require.Len(t, l.Sample(now, 200), 100)
	seen := map[uint64]bool{}
	for range 200 {
		sample := l.Sample(now, 16)
		require.Len(t, sample, 16)
		for i, s := range sample {
			seen[s.Fingerprint] = true
			if i < 8 {
				require.Equal(t, uint64(99-i), s.Fingerprint)
			}
		}
	}
	require.Len(t, seen, 100)
}
