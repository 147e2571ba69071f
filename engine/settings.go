package engine

import (
	"cmp"
	"time"
)

// Settings are the mode and the limits of a [Client]. A zero value selects the
// default.
type Settings struct {
	// Service reports that the endpoint is a plain service, which has no streams
	// to resume or cancel and takes no orders. Its calls are cancelled by closing
	// their connection.
	Service bool
	// SilenceTimeout is how long the connection of a streamed answer may send no
	// complete event or comment before the stream is resumed on a new connection. The
	// default is 20 s.
	SilenceTimeout time.Duration
	// MaxResumes is the maximum number of consecutive attempts to resume a stream
	// without a new event. The default is 3.
	MaxResumes int
	// NonStreamSilenceTimeout is how long a non-streamed answer may take to arrive, and
	// a streamed one to get from one event with data to the next while its connection
	// sends comments. The default is 10 minutes, because an endpoint sends a
	// non-streamed answer only once it is generated.
	NonStreamSilenceTimeout time.Duration
	// ControlTimeout limits the duration of a load, order, health or cancel
	// request, and the wait for the header of a resumed stream. The default is
	// 2 s.
	ControlTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept for the next call. The
	// default of zero uses a new connection for each call, because an idle one may
	// be silent or about to close, which would leave the outcome of the call
	// unknown.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the header of an answer. The default is 64 KB.
	MaxHeaderBytes int64
	// MaxBodyBytes limits the body of a non-streamed answer. The default is 16 MB.
	// The total size of a streamed answer is not limited.
	MaxBodyBytes int64
	// MaxEventBytes limits one event of a streamed answer. The default is 1 MB.
	MaxEventBytes int
}

func (s Settings) withDefaults() Settings {
	s.SilenceTimeout = cmp.Or(s.SilenceTimeout, 20*time.Second)
	s.MaxResumes = cmp.Or(s.MaxResumes, 3)
	s.NonStreamSilenceTimeout = cmp.Or(s.NonStreamSilenceTimeout, 10*time.Minute)
	s.ControlTimeout = cmp.Or(s.ControlTimeout, 2*time.Second)
	s.MaxHeaderBytes = cmp.Or(s.MaxHeaderBytes, 64<<10)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, 16<<20)
	s.MaxEventBytes = cmp.Or(s.MaxEventBytes, 1<<20)
	return s
}
