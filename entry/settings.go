package entry

import (
	"time"

	"damasktrail.dev/setting"
)

// Settings are the flags and environment variables of an entry.
type Settings struct {
	Name            string        `long:"name" env:"DAMASKTRAIL_NAME" required:"true" description:"name of this VM in the VM list"`
	Domain          string        `long:"domain" env:"DAMASKTRAIL_DOMAIN" required:"true" description:"failure domain of this VM"`
	Callers         string        `long:"callers" env:"DAMASKTRAIL_CALLERS" default:"127.0.0.1:8080" description:"address for callers (HTTP)"`
	Admin           string        `long:"admin" env:"DAMASKTRAIL_ADMIN" default:"127.0.0.1:8081" description:"address for operators: health, readiness, metrics, status"`
	Gossip          string        `long:"gossip" env:"DAMASKTRAIL_GOSSIP" default:"127.0.0.1:8082" description:"address for other entries (UDP)"`
	Platform        string        `long:"platform" env:"DAMASKTRAIL_PLATFORM" required:"true" description:"base URL of the configuration service"`
	Authority       string        `long:"ca" env:"DAMASKTRAIL_CA" required:"true" description:"file with the authority's certificates (PEM)"`
	Cert            string        `long:"cert" env:"DAMASKTRAIL_CERT" required:"true" description:"file with this entry's certificate (PEM)"`
	Key             string        `long:"key" env:"DAMASKTRAIL_KEY" required:"true" description:"file with this entry's private key (PEM)"`
	Subset          int           `long:"subset" env:"DAMASKTRAIL_SUBSET" default:"11" description:"agents to connect to per model"`
	MaxOpenRequests int           `long:"open" env:"DAMASKTRAIL_OPEN" default:"4096" description:"requests open at a time"`
	MaxBodyBytes    int64         `long:"body" env:"DAMASKTRAIL_BODY" default:"1048576" description:"largest request body in bytes"`
	ClientMemoryMB  int           `long:"client-memory-mb" env:"DAMASKTRAIL_CLIENT_MEMORY_MB" default:"1024" description:"largest size in MiB of the headers and bodies that callers hold"`
	Connections     int           `long:"client-connections" env:"DAMASKTRAIL_CLIENT_CONNECTIONS" default:"16384" description:"largest number of callers' connections"`
	Grace           time.Duration `long:"grace" env:"DAMASKTRAIL_GRACE" default:"5m" description:"longest wait for open requests at shutdown"`
	Level           string        `long:"log" env:"DAMASKTRAIL_LOG" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level"`
}

// Upper limits of settings. The largest body fits into a frame with the rest of
// its message.
const (
	maxSubset       = 1000
	maxOpenRequests = 1 << 20
	maxBodyBytes    = 1 << 20
	// maxClientMemoryMB and maxConnections bound what callers hold; zero is no bound.
	maxClientMemoryMB = 1 << 20
	maxConnections    = 1 << 20
	maxGrace          = 24 * time.Hour
)

// Check returns a [*setting.Error] for the first setting that cannot be used.
func (s Settings) Check() error {
	return setting.Check(
		setting.Address("--callers", s.Callers),
		setting.Address("--admin", s.Admin),
		setting.Address("--gossip", s.Gossip),
		setting.URL("--platform", s.Platform),
		setting.File("--ca", s.Authority),
		setting.File("--cert", s.Cert),
		setting.File("--key", s.Key),
		setting.Within("--subset", s.Subset, 1, maxSubset),
		setting.Within("--open", s.MaxOpenRequests, 1, maxOpenRequests),
		setting.Within("--body", s.MaxBodyBytes, 1, maxBodyBytes),
		setting.Within("--client-memory-mb", s.ClientMemoryMB, 0, maxClientMemoryMB),
		setting.Within("--client-connections", s.Connections, 0, maxConnections),
		setting.Within("--grace", s.Grace, 0, maxGrace),
	)
}
