package gateway

import (
	"time"

	"damasktrail.dev/setting"
)

// RetryBound is how much more often than callers ask the entries together may
// send requests to a service.
type RetryBound struct {
	// Ratio is the share of the requests for the service in a window, Slack a
	// number of requests besides.
	Ratio, Slack float64
}

// Settings are what a gateway learns from the file of its VM. They are values
// and are not changed.
type Settings struct {
	// Name is the name of this VM, Domain its failure domain.
	Name, Domain string
	// Address is the IP address of this VM.
	Address string
	// Callers, Ready and Peers are the addresses to listen on for requests, for
	// readiness and for peers (UDP).
	Callers, Ready, Peers string
	// Seeds are the addresses of some peers; they may be down.
	Seeds []string
	// Directory is the address of the directory.
	Directory string
	// Memory is the limit of the process in bytes; zero when there is none.
	Memory int64
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Revocation is how long after its removal a key may still be used; zero when
	// there is no bound.
	Revocation time.Duration
	// Retry bounds repeated requests.
	Retry RetryBound
}

// Check returns a [*setting.Error] for the first setting that cannot be used.
func (s Settings) Check() error {
	problems := []error{
		setting.Address("callers", s.Callers),
		setting.Address("ready", s.Ready),
		setting.Address("peers", s.Peers),
		setting.Address("directory", s.Directory),
	}
	for _, seed := range s.Seeds {
		problems = append(problems, setting.Address("seeds", seed))
	}
	return setting.Check(problems...)
}
