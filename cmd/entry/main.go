// Command entry accepts callers' requests and sends them to agents.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"damasktrail.dev"
	"damasktrail.dev/admin"
	"damasktrail.dev/certificate"
	"damasktrail.dev/conns"
	"damasktrail.dev/entry"
	"damasktrail.dev/group"
	"damasktrail.dev/internal/response"
	"damasktrail.dev/set"
	"damasktrail.dev/source"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// longPollTimeout is how long one read of the platform waits for a change. It
// must stay below the age of the last contact with the platform after which other
// entries begin to read.
const longPollTimeout = time.Second

func main() {
	var s entry.Settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(2)
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s),
		fx.StopTimeout(s.Grace),
		fx.Provide(newTasks, newClock, newLogger, newMetrics, newSource, newEntry),
		fx.Invoke(serve),
	)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", dig.RootCause(err))
		os.Exit(1)
	}
	app.Run()
}

func newTasks() *group.Group { return group.New(context.Background()) }

func newClock(tasks *group.Group) damasktrail.Clock { return timer.New(tasks) }

func newMetrics() (*telemetry.Metrics, error) { return telemetry.New("entry") }

func newLogger(s entry.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return nil, err
	}
	return telemetry.Logger(os.Stderr, "entry", level), nil
}

func newSource(s entry.Settings, clock damasktrail.Clock) damasktrail.Source {
	transport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		transport = &http.Transport{}
	}
	client := &http.Client{Transport: response.NewTransport(transport)}
	return source.New(s.Platform, client, clock).WithWait(longPollTimeout)
}

func newEntry(s entry.Settings, source damasktrail.Source, clock damasktrail.Clock, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) (*entry.Entry, error) {
	credentials, err := certificate.Load(s.Authority, s.Cert, s.Key)
	if err != nil {
		return nil, err
	}
	t := entry.TLS{
		Agents:  credentials.ClientConfig(certificate.RoleAgent),
		Entries: credentials.ClientConfig(certificate.RoleEntry),
		Listen:  credentials.ServerConfig(set.Of(certificate.RoleEntry)),
	}
	return entry.New(s, t, source, clock, tasks, m, log)
}

// publishClients adds the metrics of what callers hold.
func publishClients(m *telemetry.Metrics, e *entry.Entry, l *conns.Listener) error {
	return errors.Join(
		m.Gauge("client_bytes", "Bytes of headers and bodies that callers hold.", func() float64 { return float64(e.ClientBytes()) }),
		m.Gauge("client_connections", "Open connections of callers.", func() float64 { return float64(l.Open()) }),
		m.Gauge("client_connections_closed", "Connections of callers closed to make room for others.", func() float64 { return float64(l.Closed()) }),
		m.Gauge("client_connections_refused", "New connections of callers closed at once.", func() float64 { return float64(l.Refused()) }),
	)
}

func serve(lc fx.Lifecycle, stop fx.Shutdowner, s entry.Settings, e *entry.Entry, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) error {
	listenerFailed := func(err error) {
		log.Error("listener failed", "error", err)
		_ = stop.Shutdown(fx.ExitCode(1))
	}
	operators, err := admin.Listen(s.Admin, admin.NewEntry(e, m.Handler(), e.Document, m.Count), tasks, listenerFailed)
	if err != nil {
		return err
	}
	var config net.ListenConfig
	listener, err := config.Listen(tasks.Context(), "tcp", s.Callers)
	if err != nil {
		return err
	}
	bounded := e.BoundConnections(listener)
	if err := publishClients(m, e, bounded); err != nil {
		return err
	}
	callers := admin.Serve(bounded, e.Callers(), tasks, listenerFailed)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			e.Start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if err := e.Drain(ctx); err != nil {
				log.Error("drain incomplete", "error", err)
			}
			_ = callers.Shutdown(ctx)
			_ = operators.Shutdown(ctx)
			err := e.Close()
			tasks.Close()
			log.Info("stopped")
			return err
		},
	})
	return nil
}
