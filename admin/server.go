package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"damasktrail.dev/group"
)

const (
	// headerTimeout bounds the time to read a request's header, so that slow
	// clients cannot hold connections.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
)

// Server is an HTTP listener with bounds.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// Listen binds address and serves h as a task of the group.
func Listen(address string, h http.Handler, tasks *group.Group, failed func(error)) (res *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen on %s: %w", address, err)
		}
	}()
	var l net.ListenConfig
	listener, err := l.Listen(tasks.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		},
	}
	tasks.Go(func(context.Context) {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed(err)
		}
	})
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown stops accepting and waits for open requests until ctx ends, then
// closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}
