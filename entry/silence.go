package entry

import (
	"time"

	"damasktrail.dev/frame"
)

const (
	// silencePing and silenceLimit are the times without any frame on a link from
	// which something is expected, after which a beat is asked for, and after
	// which the link is given up.
	silencePing  = 2 * time.Second
	silenceLimit = 6 * time.Second
	// beatOverdue is when an idle agent should have sent its heartbeat of 10 s.
	beatOverdue = 12 * time.Second
	// watchInterval is that of the check of all links.
	watchInterval = 500 * time.Millisecond
)

// checkLinks gives up links to agents on which nothing arrives although
// something is expected: on those with open attempts, and on idle ones whose
// heartbeat is overdue.
func (e *Entry) checkLinks(now time.Time) {
	// After a pause of this process frames wait in its buffers, so silence counts
	// from the end of the pause.
	woke := now.Sub(e.checked) > 4*watchInterval
	e.checked = now
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	for _, r := range s.agents {
		live := r.session.Load()
		if live == nil {
			continue
		}
		overdue := now.Sub(time.Unix(0, live.heard.Load())) >= beatOverdue
		if woke || r.inflight.Load() == 0 && !overdue {
			live.quiet.Store(now.UnixNano())
			continue
		}
		if e.silent(live, now) {
			live.silent.Store(true)
			live.conn.Close("silent")
		}
	}
}

// silent asks for a beat on a link that should not be quiet and reports whether
// the link must be given up.
func (e *Entry) silent(s *session, now time.Time) bool {
	since := max(s.heard.Load(), s.quiet.Load())
	silence := now.Sub(time.Unix(0, since))
	if silence >= silenceLimit {
		e.metrics.Count("links_silent", 1)
		return true
	}
	if silence >= silencePing {
		b := e.beat()
		b.Reply = true
		s.send(frame.KindBeat, b)
	}
	return false
}
