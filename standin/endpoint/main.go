// Command endpoint runs a stand-in for a model endpoint or a plain service.
package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"damasktrail.dev/group"
	"damasktrail.dev/standin"
)

type options struct {
	Listen      string        `long:"listen" default:"127.0.0.1:8000" description:"address of the endpoint"`
	Control     string        `long:"control" description:"address of the test control; none without it"`
	Kind        string        `long:"kind" default:"engine" choice:"engine" choice:"service" description:"what the endpoint is"`
	Model       string        `long:"model" description:"model held at the start"`
	PrefillRate float64       `long:"prefill-rate" default:"8000" description:"prompt tokens per second"`
	Step        time.Duration `long:"step" default:"10ms" description:"time of a decode step of one request"`
	Batch       int           `long:"batch" default:"16" description:"requests that run at once"`
	Cache       int           `long:"cache" default:"65536" description:"prefix cache in tokens; -1 for none"`
	Fencing     bool          `long:"fencing" description:"refuse orders with an old fencing number"`
	LoadLag     time.Duration `long:"load-lag" default:"250ms" description:"age of load reports; -1ms for none"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		slog.Error("endpoint: stopped", "error", err)
		os.Exit(1)
	}
}

// run serves until SIGINT or SIGTERM, then finishes the requests in progress.
func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	e := standin.NewEndpoint(standin.EndpointOptions{
		Kind:        o.Kind,
		Model:       o.Model,
		PrefillRate: o.PrefillRate,
		Step:        o.Step,
		Batch:       o.Batch,
		CacheTokens: o.Cache,
		Fencing:     o.Fencing,
		LoadLag:     o.LoadLag,
	})
	defer e.Close()
	tasks := group.New(ctx)
	defer tasks.Close()
	serveErrors := make(chan error, 2)
	servers := []*http.Server{newServer(o.Listen, e.Handler())}
	servers[0].ConnContext = e.ConnContext
	if o.Control != "" {
		servers = append(servers, newServer(o.Control, e.Control()))
	}
	for _, s := range servers {
		var l net.ListenConfig
		listener, err := l.Listen(ctx, "tcp", s.Addr)
		if err != nil {
			return err
		}
		slog.Info("endpoint: listening", "address", listener.Addr().String())
		tasks.Go(func(context.Context) {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- err
			}
		})
	}
	var err error
	select {
	case err = <-serveErrors:
	case <-ctx.Done():
	}
	for _, s := range servers {
		err = errors.Join(err, s.Shutdown(context.WithoutCancel(ctx)))
	}
	return err
}

func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 10 * time.Second}
}
