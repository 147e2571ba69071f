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
