// Command gateway accepts callers' plain HTTP requests on the users' platform and
// sends them directly to the endpoints that run them.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"damasktrail.dev"
	"damasktrail.dev/admin"
	"damasktrail.dev/conns"
	"damasktrail.dev/gateway"
	"damasktrail.dev/group"
	"damasktrail.dev/internal/response"
	"damasktrail.dev/platform"
	"damasktrail.dev/setting"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// options are the flags and environment variables.
type options struct {
	Settings            string        `long:"settings" env:"DAMASKTRAIL_BOOT" required:"true" description:"path of the platform's settings file"`
	Metrics             int           `long:"metrics" env:"DAMASKTRAIL_METRICS" default:"0" description:"port for metrics on the VM's address; 0 serves none"`
	ClientMemoryMB      int           `long:"client-memory-mb" env:"DAMASKTRAIL_CLIENT_MEMORY_MB" default:"0" description:"largest size in MiB of what clients hold: headers, bodies and buffered responses; 0 is a quarter of the memory of the process"`
	RampUp              bool          `long:"ramp-up" env:"DAMASKTRAIL_RAMP_UP" description:"ramp up endpoints of adaptive services that have started or recovered"`
	ClientConnections   int           `long:"client-connections" env:"DAMASKTRAIL_CLIENT_CONNECTIONS" default:"0" description:"largest number of callers' connections; 0 follows from the memory and the descriptors of the process"`
	ClientResponseStall time.Duration `long:"client-response-stall" env:"DAMASKTRAIL_CLIENT_RESPONSE_STALL" default:"30s" description:"longest time in which a caller may take nothing of a response"`
	Level               string        `long:"log" env:"DAMASKTRAIL_LOG" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"log level"`
}

const (
	maxPort           = 1<<16 - 1
	maxClientMemoryMB = 1 << 20
	// memoryLimitFraction is the fraction of the process's memory at which the
	// garbage collector starts to work harder. The rest is for memory that the limit
	// of the Go runtime does not count, and for peaks between two collections.
	memoryLimitFraction = 0.6
	// dialTimeout limits the time to open a connection to the directory.
	dialTimeout = 500 * time.Millisecond
	// operatorWriteTimeout limits the time in which an operator may take nothing of an
	// answer.
	operatorWriteTimeout = 30 * time.Second
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	s, err := readSettings(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(2)
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(o, s),
		fx.StopTimeout(s.Grace+time.Second),
		fx.Provide(newTasks, newClock, newMetrics, newSink, newLogger, newDirectory, newGateway),
		fx.Invoke(serve),
	)
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", dig.RootCause(err))
		os.Exit(1)
	}
	app.Run()
}

// readSettings checks the options and reads the settings file.
func readSettings(o options) (gateway.Settings, error) {
	if err := setting.Within("--metrics", o.Metrics, 0, maxPort); err != nil {
		return gateway.Settings{}, err
	}
	if err := setting.Within("--client-memory-mb", o.ClientMemoryMB, 0, maxClientMemoryMB); err != nil {
		return gateway.Settings{}, err
	}
	s, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return s, err
	}
	s.RampUp = o.RampUp
	s.Clients = gateway.ClientLimits{
		MemoryBytes: int64(o.ClientMemoryMB) << 20, Connections: o.ClientConnections, ResponseStall: o.ClientResponseStall,
	}
	return s, s.Check()
}

func newTasks() *group.Group { return group.New(context.Background()) }

func newClock(tasks *group.Group) damasktrail.Clock { return timer.New(tasks) }

func newMetrics() (*telemetry.Metrics, error) { return telemetry.New("gateway") }

func newSink(tasks *group.Group, m *telemetry.Metrics) (*telemetry.Sink, error) {
	s := telemetry.NewSink(os.Stdout, tasks)
	err := errors.Join(
		m.Gauge("log_dropped", "Log lines dropped because standard output was not read.", func() float64 { return float64(s.Dropped()) }),
		m.Gauge("log_dropped_routine", "The same, lines of attempts and of served requests.", func() float64 { return float64(s.DroppedRoutine()) }),
	)
	return s, err
}

func newLogger(o options, settings gateway.Settings, s *telemetry.Sink) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.Level)); err != nil {
		return nil, err
	}
	return telemetry.Logger(s, "gateway", level).With("vm", settings.Name), nil
}

func newDirectory(s gateway.Settings, clock damasktrail.Clock) damasktrail.Directory {
	return platform.New(s.Directory, &http.Client{Transport: response.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 4,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	})}, clock)
}

func newGateway(s gateway.Settings, d damasktrail.Directory, clock damasktrail.Clock, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) (*gateway.Gateway, error) {
	boot := uint64(time.Now().UnixNano())
	return gateway.New(s, d, platform.Dialect{}, clock, timer.Uptime, boot, tasks, m, log)
}

func serve(lc fx.Lifecycle, stop fx.Shutdowner, o options, s gateway.Settings, g *gateway.Gateway, clock damasktrail.Clock, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) {
	listenerFailed := func(err error) {
		log.Error("listener failed", "error", err)
		_ = stop.Shutdown(fx.ExitCode(1))
	}
	var metrics *admin.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			tasks.Go(func(ctx context.Context) { reload(ctx, o, s, log) })
			if o.Metrics > 0 {
				address := net.JoinHostPort(s.Address, strconv.Itoa(o.Metrics))
				var config net.ListenConfig
				listener, err := config.Listen(tasks.Context(), "tcp", address)
				if err != nil {
					return err
				}
				bounded := conns.Listen(listener, clock, conns.Limits{Connections: s.OperatorConnections(), WriteTimeout: operatorWriteTimeout})
				metrics = admin.Serve(bounded, m.Handler(), tasks, listenerFailed)
			}
			return g.Start(listenerFailed)
		},
		OnStop: func(ctx context.Context) error {
			g.Drain(ctx)
			err := g.Close()
			if metrics != nil {
				err = errors.Join(err, metrics.Shutdown(ctx))
			}
			log.Info("stopped")
			tasks.Close()
			return err
		},
	})
}

// reload reads the settings file again after each SIGHUP and logs what changed.
// The addresses and limits of the running process stay the same.
func reload(ctx context.Context, o options, previous gateway.Settings, log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		s, err := readSettings(o)
		if err != nil {
			log.Error("settings not reloaded", "error", err)
			continue
		}
		log.Info("settings reloaded", "callers", s.Callers, "seeds", s.Seeds, "directory", s.Directory, "moved", s.Callers != previous.Callers || s.Directory != previous.Directory)
		previous = s
	}
}
