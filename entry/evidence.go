package entry

import (
	"hash/fnv"
	"io"
	"net/http"
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

// recordSound records that the answer to the request is sound or has begun so. Only a success
// is: an endpoint may reject a request with a message that would crash it.
func (e *Entry) recordSound(c *call, status int, now time.Time) {
	if status < http.StatusMultipleChoices {
		e.evidence.AddAnswer(c.features, now)
	}
}

// refusesFeatures reports whether the request is refused for what it has in common with
// requests that crashed endpoints.
func (e *Entry) refusesFeatures(c *call) bool {
	if c.tried {
		return false
	}
	verdict := e.evidence.Judge(c.features, e.clock.Now(), e.owns)
	c.tried = verdict == suspect.Try
	return verdict == suspect.Refuse
}

// owns reports whether this entry is the one that tries a refused feature again.
func (e *Entry) owns(f suspect.Feature) bool {
	l := e.members.Load()
	if l == nil {
		return false
	}
	var entries []string
	for _, vm := range l.VMs {
		if vm.Role == member.RoleEntry && vm.State == member.StateLive {
			entries = append(entries, vm.Name)
		}
	}
	return suspect.Owns(e.settings.Name, entries, f)
}
