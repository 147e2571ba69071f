package agent

import (
	"time"

	"damasktrail.dev/setting"
)

// Settings are the flags and environment variables of an agent.
type Settings struct {
	Name      string        `long:"name" env:"DAMASKTRAIL_NAME" required:"true" description:"name of this VM in the VM list"`
	Domain    string        `long:"domain" env:"DAMASKTRAIL_DOMAIN" required:"true" description:"failure domain of this VM"`
	Set       string        `long:"set" env:"DAMASKTRAIL_SET" required:"true" description:"set of the endpoint in the document"`
	Listen    string        `long:"listen" env:"DAMASKTRAIL_LISTEN" default:"127.0.0.1:8090" description:"address for entries (UDP); one per endpoint VM"`
	Admin     string        `long:"admin" env:"DAMASKTRAIL_ADMIN" default:"127.0.0.1:8091" description:"address for operators: health, readiness, metrics, status"`
	Endpoint  string        `long:"endpoint" env:"DAMASKTRAIL_ENDPOINT" required:"true" description:"base URL of the endpoint"`
	Kind      string        `long:"kind" env:"DAMASKTRAIL_KIND" default:"engine" choice:"engine" choice:"service" description:"kind of the endpoint"`
	Authority string        `long:"ca" env:"DAMASKTRAIL_CA" required:"true" description:"file with the authority's certificates (PEM)"`
	Cert      string        `long:"cert" env:"DAMASKTRAIL_CERT" required:"true" description:"file with this agent's certificate (PEM)"`
	Key       string        `long:"key" env:"DAMASKTRAIL_KEY" required:"true" description:"file with this agent's private key (PEM)"`
	Inflight  int           `long:"inflight" env:"DAMASKTRAIL_INFLIGHT" default:"256" description:"most requests inside the endpoint at a time; the limit in use is learned"`
	Waiting   int           `long:"waiting" env:"DAMASKTRAIL_WAITING" default:"256" description:"requests waiting at a time"`
	Tokens    int           `long:"tokens" env:"DAMASKTRAIL_TOKENS" default:"400000" description:"prompt tokens waiting at a time"`
	Ticket    time.Duration `long:"ticket" env:"DAMASKTRAIL_TICKET" default:"15m" description:"life of a ticket"`
	Grace     time.Duration `long:"grace" env:"DAMASKTRAIL_GRACE" default:"15m" description:"longest wait for running requests at shutdown"`
	Level     string        `long:"log" env:"DAMASKTRAIL_LOG" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level"`
}

// Limits of the settings' values.
const (
	maxInflight = 1 << 16
	maxWaiting  = 1 << 20
	maxTokens   = 1 << 30
	minTicket   = time.Second
	maxTicket   = 24 * time.Hour
	maxGrace    = 24 * time.Hour
)

// Check returns a [*setting.Error] for the first setting that cannot be used.
func (s Settings) Check() error {
	return setting.Check(
		setting.Address("--listen", s.Listen),
		setting.Address("--admin", s.Admin),
		setting.URL("--endpoint", s.Endpoint),
		setting.File("--ca", s.Authority),
		setting.File("--cert", s.Cert),
		setting.File("--key", s.Key),
		setting.Within("--inflight", s.Inflight, 1, maxInflight),
		setting.Within("--waiting", s.Waiting, 1, maxWaiting),
		setting.Within("--tokens", s.Tokens, 1, maxTokens),
		setting.Within("--ticket", s.Ticket, minTicket, maxTicket),
		setting.Within("--grace", s.Grace, 0, maxGrace),
	)
}
