package entry

import (
	"time"

	"damasktrail.dev/frame"
)

const (
	// silenceProbeAfter and silenceTimeout are the times without any frame, on a
	// link from which frames are expected, after which a beat is requested and
	// after which the link is closed.
	silenceProbeAfter = 2 * time.Second
	silenceTimeout    = 6 * time.Second
	// heartbeatOverdue is the time without any frame after which the heartbeat of
	// an idle agent, sent every 10 s, is overdue.
	heartbeatOverdue = 12 * time.Second
	// linkCheckInterval is the interval at which all links are checked.
	linkCheckInterval = 500 * time.Millisecond
)

// checkLinks closes links to agents on which nothing arrives although frames
// are expected: links with open attempts, and idle links whose heartbeat is
// overdue.
func (e *Entry) checkLinks(now time.Time) {
	// After a pause of this process, received frames are still in its buffers, so
	// silence is measured from the end of the pause.
	resumed := now.Sub(e.lastLinkCheck) > 4*linkCheckInterval
	e.lastLinkCheck = now
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	for _, r := range s.agents {
		sess := r.session.Load()
		if sess == nil {
			continue
		}
		overdue := now.Sub(time.Unix(0, sess.lastReceived.Load())) >= heartbeatOverdue
		if resumed || r.inflight.Load() == 0 && !overdue {
			sess.silenceStart.Store(now.UnixNano())
			continue
		}
		if e.checkSilence(sess, now) {
			sess.closedSilent.Store(true)
			sess.conn.Close("silent")
		}
	}
}

// checkSilence requests a beat on a link that should not be silent, and reports
// whether the link must be closed.
func (e *Entry) checkSilence(s *session, now time.Time) bool {
	since := max(s.lastReceived.Load(), s.silenceStart.Load())
	silence := now.Sub(time.Unix(0, since))
	if silence >= silenceTimeout {
		e.metrics.Count("links_silent", 1)
		return true
	}
	if silence >= silenceProbeAfter {
		b := e.heartbeat()
		b.Reply = true
		s.send(frame.KindHeartbeat, b)
	}
	return false
}
