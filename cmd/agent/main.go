// Command agent runs beside one endpoint and alone decides which requests it
// runs.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"damasktrail.dev"
	"damasktrail.dev/admin"
	"damasktrail.dev/agent"
	"damasktrail.dev/certificate"
	"damasktrail.dev/engine"
	"damasktrail.dev/group"
	"damasktrail.dev/set"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

func main() {
	var s agent.Settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(2)
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s),
		fx.StopTimeout(s.Grace),
		fx.Provide(newTasks, newClock, newLogger, newMetrics, newEngine, newAgent),
		fx.Invoke(serve),
	)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", dig.RootCause(err))
		os.Exit(1)
	}
	app.Run()
}

func newTasks() *group.Group { return group.New(context.Background()) }

func newClock(tasks *group.Group) damasktrail.Clock { return timer.New(tasks) }

func newMetrics() (*telemetry.Metrics, error) { return telemetry.New("agent") }

func newLogger(s agent.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return nil, err
	}
	return telemetry.Logger(os.Stderr, "agent", level), nil
}

func newEngine(s agent.Settings, clock damasktrail.Clock) damasktrail.Engine {
	return engine.New(s.Endpoint, nil, clock, engine.Settings{Service: s.Kind == "service"})
}

func newAgent(s agent.Settings, e damasktrail.Engine, clock damasktrail.Clock, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) (*agent.Agent, error) {
	credentials, err := certificate.Load(s.Authority, s.Cert, s.Key)
	if err != nil {
		return nil, err
	}
	return agent.New(s, credentials.ServerConfig(set.Of(certificate.RoleEntry)), e, clock, tasks, m, log)
}

func serve(lc fx.Lifecycle, stop fx.Shutdowner, s agent.Settings, a *agent.Agent, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) error {
	listenerFailed := func(err error) {
		log.Error("listener failed", "error", err)
		_ = stop.Shutdown(fx.ExitCode(1))
	}
	operators, err := admin.Listen(s.Admin, admin.New(a, m.Handler()), tasks, listenerFailed)
	if err != nil {
		return err
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			a.Start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if err := a.Drain(ctx); err != nil {
				log.Error("drain incomplete", "error", err)
			}
			_ = operators.Shutdown(ctx)
			err := a.Close()
			tasks.Close()
			log.Info("stopped")
			return err
		},
	})
	return nil
}
