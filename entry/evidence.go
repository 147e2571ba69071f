package entry

import (
	"hash/fnv"
	"io"
	"slices"
	"strconv"
	"time"

	"damasktrail.dev/member"
	"damasktrail.dev/suspect"
)

const (
	// soundChunks is the number of chunks after which a streamed answer counts as sound.
	// An endpoint that crashes under a prompt does so when it begins to answer.
	soundChunks = 4
	// maxReportedEvidence bounds the evidence in one heartbeat.
	maxReportedEvidence = 64
)

// recordCrash records a crash of the endpoint under the request and tells the peers.
func (e *Entry) recordCrash(c *call, vm string, now time.Time) {
	h := fnv.New32a()
	_, _ = io.WriteString(h, vm)
	e.evidence.AddCrash(c.features, h.Sum32(), now)
	e.post(func(ctl *control) { ctl.broadcastEvidence() })
}

// refusesFeatures reports whether the request is refused for what it has in common with
// requests that crashed endpoints.
func (e *Entry) refusesFeatures(c *call) bool {
	if c.tried {
		return false
	}
	verdict := e.evidence.Judge(c.features, e.clock.Now(), e.tries)
	c.tried = verdict == suspect.Try
	return verdict == suspect.Refuse
}

// tries reports whether this entry is the one that tries a feature again after a long
// time. Each live entry has its share of the features.
func (e *Entry) tries(f suspect.Feature) bool {
	l := e.members.Load()
	if l == nil {
		return false
	}
	rank := func(name string) uint64 { return digest(name, strconv.FormatUint(f, 16)) }
	own := rank(e.settings.Name)
	return !slices.ContainsFunc(l.VMs, func(vm *member.VM) bool {
		return vm.Role == member.RoleEntry && vm.State == member.StateLive && rank(vm.Name) > own
	})
}
