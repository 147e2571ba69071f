// Command platform is a stand-in for the platform's configuration service.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"damasktrail.dev/group"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

type options struct {
	Listen   string `long:"listen" env:"PLATFORM_LISTEN" default:"127.0.0.1:8500" description:"address for readers"`
	Control  string `long:"control" env:"PLATFORM_CONTROL" default:"127.0.0.1:8501" description:"address for tests"`
	Document string `long:"document" env:"PLATFORM_DOCUMENT" description:"file with the first document"`
	VMs      string `long:"vms" env:"PLATFORM_VMS" description:"file with the first VM list"`
	Rate     int    `long:"rate" env:"PLATFORM_RATE" default:"2000" description:"limit in reads per second"`
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
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tasks := group.New(ctx)
	defer tasks.Close()
	p := standin.NewPlatform(standin.PlatformOptions{Clock: timer.New(tasks), Rate: o.Rate})
	for _, initial := range []struct {
		file    string
		publish func([]byte) error
	}{{o.Document, p.PublishDocument}, {o.VMs, p.PublishVMs}} {
		if initial.file == "" {
			continue
		}
		data, err := os.ReadFile(initial.file)
		if err != nil {
			return err
		}
		if err := initial.publish(data); err != nil {
			return err
		}
	}
	serveErrors := make(chan error, 2)
	for _, part := range []struct {
		address string
		handler http.Handler
	}{{o.Listen, p.Handler()}, {o.Control, p.Control()}} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", part.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: part.handler, ReadHeaderTimeout: 5 * time.Second}
		tasks.Go(func(context.Context) {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- err
			}
		})
		defer func() { _ = server.Close() }()
	}
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return nil
	}
}
