package entry

import (
	"hash/fnv"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"damasktrail.dev/frame"
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

// crashEvidence relates crashes of endpoints to the messages of chats. It is safe for
// concurrent use.
type crashEvidence struct {
	mu       sync.Mutex
	evidence *suspect.Evidence
}

func newCrashEvidence() *crashEvidence { return &crashEvidence{evidence: suspect.NewEvidence()} }

// addCrash records that an endpoint crashed before it began to answer the request.
func (x *crashEvidence) addCrash(r suspect.Request, vm string, now time.Time) {
	h := fnv.New32a()
	_, _ = io.WriteString(h, vm)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.evidence.AddCrash(r, h.Sum32(), now)
}

// addAnswer records a sound answer or the begin of one.
func (x *crashEvidence) addAnswer(r suspect.Request, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.evidence.AddAnswer(r, now)
}

// judge decides about a request. owner reports whether this entry may try a feature that
// has crashed nothing for long.
func (x *crashEvidence) judge(r suspect.Request, now time.Time, owner func(suspect.Feature) bool) suspect.Verdict {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.evidence.Judge(r, now, owner)
}

// suspected reports whether the request should not be sent again after a crash.
func (x *crashEvidence) suspected(r suspect.Request) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.evidence.Suspected(r)
}

// merge adds what a peer reports, and reports whether it was news.
func (x *crashEvidence) merge(reported []frame.Evidence, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.evidence.Merge(reported, now)
}

// report returns what peers are told.
func (x *crashEvidence) report(now time.Time) []frame.Evidence {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.evidence.Report(now, maxReportedEvidence)
}

// expire removes old records.
func (x *crashEvidence) expire(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.evidence.Expire(now)
}

// recordCrash records a crash of the endpoint under the request and tells the peers.
func (e *Entry) recordCrash(c *call, vm string, now time.Time) {
	e.crashes.addCrash(c.features, vm, now)
	e.post(func(ctl *control) { ctl.broadcastEvidence() })
}

// refusesFeatures reports whether the request is refused for what it has in common with
// requests that crashed endpoints.
func (e *Entry) refusesFeatures(c *call) bool {
	if c.tried {
		return false
	}
	verdict := e.crashes.judge(c.features, e.clock.Now(), e.tries)
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
