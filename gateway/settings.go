package gateway

import (
	"time"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/setting"
)

// RetryBound limits how many requests all entries together may send to a service
// beyond those of the callers.
type RetryBound struct {
	// Ratio is the limit as a fraction of the callers' requests for the service in a
	// window, Slack a number of requests on top of it.
	Ratio, Slack float64
}

// Settings are the values that a gateway reads from the settings file of its VM.
// They are immutable.
type Settings struct {
	// Name is the name of this VM, Domain its failure domain.
	Name, Domain string
	// Address is the IP address of this VM.
	Address string
	// Callers, Ready and Peers are the addresses to listen on for requests, for
	// readiness probes and for peers (UDP).
	Callers, Ready, Peers string
	// Seeds are the addresses of some peers, which may be down.
	Seeds []string
	// Directory is the address of the directory.
	Directory string
	// Millicores is the part of a processor that the process may use, in thousandths;
	// zero when it is not known.
	Millicores int
	// MemoryBytes is the memory limit of the process in bytes; zero when there is none.
	MemoryBytes int64
	// MaxFiles is the number of descriptors that the process may open; zero when it is not
	// known.
	MaxFiles int
	// RampUp says that endpoints that have started or recovered get few requests at first,
	// in adaptive services.
	RampUp bool
	// Clients bounds what clients hold.
	Clients ClientLimits
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Revocation is how long a key may still be accepted after its removal; zero
	// when there is no limit.
	Revocation time.Duration
	// Retry limits repeated requests.
	Retry RetryBound
	// Cold limits the requests to endpoints during their cold start.
	Cold dispatch.ColdBound
	// Drain is the time from an endpoint's report that it leaves after which nothing is sent
	// to it; zero when there is no limit.
	Drain time.Duration
	// Evacuation is the time from the operator's request to evacuate a failure domain after
	// which nothing is sent there; zero if there are no such requests.
	Evacuation time.Duration
	// Regions has the region of each failure domain, as far as it is known.
	Regions map[string]string
}

// Check returns a [*setting.Error] for the first setting that cannot be used.
func (s Settings) Check() error {
	problems := []error{
		setting.Address("callers", s.Callers),
		setting.Address("ready", s.Ready),
		setting.Address("peers", s.Peers),
		setting.Address("directory", s.Directory),
	}
	problems = append(problems,
		setting.Within("limits.max_fds", s.MaxFiles, 0, maxClientConnections),
		setting.Within("client memory", s.Clients.MemoryBytes, 0, maxClientMemoryBytes),
		setting.Within("client connections", s.Clients.Connections, 0, maxClientConnections),
		setting.Within("response stall", s.Clients.ResponseStall, 0, maxResponseStall),
	)
	for _, seed := range s.Seeds {
		problems = append(problems, setting.Address("seeds", seed))
	}
	return setting.Check(problems...)
}
