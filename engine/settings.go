package engine

import (
	"cmp"
	"time"
)

// Settings are the limits of a [Client]. Zero values mean the defaults.
type Settings struct {
	// Service says that the endpoint is a plain service, which has no streams to
	// resume or cancel and takes no orders. Its calls are cancelled by closing
	// their connection.
	Service bool
	// Silence is how long a streamed answer may send nothing before it is asked
	// for again on a new connection. The default is 20 s.
	Silence time.Duration
	// Resumes is how often in a row an answer is asked for again without a new
	// event. The default is 3.
	Resumes int
	// Whole is how long an answer in one piece may send nothing. The default is
	// 10 minutes, since such an answer is silent until it is generated.
	Whole time.Duration
	// Ask limits the time of a load, order, health or cancel request and of the
	// head of a resumed stream. The default is 2 s.
	Ask time.Duration
	// Idle is how long a connection is kept for the next call. The default is
	// zero: each call has its own connection, because an idle one may be silent
	// or about to be closed, which would leave the outcome of the call unknown.
	Idle time.Duration
	// Header limits the header of an answer, in bytes. The default is 64 KB.
	Header int64
	// Body limits a whole answer, in bytes. The default is 16 MB. A streamed
	// answer has no limit of its own.
	Body int64
	// Event limits one event of a streamed answer, in bytes. The default is 1 MB.
	Event int
}

func (s Settings) withDefaults() Settings {
	s.Silence = cmp.Or(s.Silence, 20*time.Second)
	s.Resumes = cmp.Or(s.Resumes, 3)
	s.Whole = cmp.Or(s.Whole, 10*time.Minute)
	s.Ask = cmp.Or(s.Ask, 2*time.Second)
	s.Header = cmp.Or(s.Header, 64<<10)
	s.Body = cmp.Or(s.Body, 16<<20)
	s.Event = cmp.Or(s.Event, 1<<20)
	return s
}
