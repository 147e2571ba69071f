package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"damasktrail.dev/conns"
	"damasktrail.dev/group"
)

const (
	// headerTimeout limits the time to read the header of a request, so that slow
	// clients cannot hold connections.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Server is an HTTP server with limits on the time and size of request headers and
// on idle connections.
type Server struct {
	server   *http.Server
	listener net.Listener
}

// Listen listens on address and serves h in a task of the group. It calls onFailure
// when the server stops for another reason than Shutdown.
func Listen(address string, h http.Handler, tasks *group.Group, onFailure func(error)) (res *Server, err error) {
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
	return Serve(listener, h, tasks, onFailure), nil
}

// Serve serves h on a listener, which may be a [conns.Listener], in a task of the group. It
// calls onFailure when the server stops for another reason than Shutdown.
func Serve(listener net.Listener, h http.Handler, tasks *group.Group, onFailure func(error)) *Server {
	s := &Server{
		listener: listener,
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
	if bounded, ok := listener.(*conns.Listener); ok {
		s.server.ConnState, s.server.ConnContext = bounded.StateChanged, conns.Context
	}
	tasks.Go(func(context.Context) {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			onFailure(err)
		}
	})
	return s
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections and waits for open requests until ctx ends,
// then closes the connections that remain.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Join(err, s.server.Close())
	}
	return nil
}
