package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
	"damasktrail.dev/gateway"
	"damasktrail.dev/group"
	"damasktrail.dev/platform"
	"damasktrail.dev/routing"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// fakeDirectory is a directory in memory whose values the tests set.
type fakeDirectory struct {
	mu        sync.Mutex
	table     *routing.Table
	endpoints fleet.List
	revision  uint64
	down      bool
	// old is returned by cheap reads of the endpoints unless it is nil.
	old *damasktrail.EndpointUpdate
	// watchDelay is added to each watch of the endpoints.
	watchDelay time.Duration
	// evacuated has failure domains.
	evacuated []string
}

func (d *fakeDirectory) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	d.revision++
}

func (d *fakeDirectory) Table(context.Context) (damasktrail.TableUpdate, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return damasktrail.TableUpdate{}, io.ErrUnexpectedEOF
	}
	return damasktrail.TableUpdate{Table: d.table, Revision: d.revision}, nil
}

func (d *fakeDirectory) Endpoints(_ context.Context, cheap bool) (damasktrail.EndpointUpdate, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cheap && d.old != nil {
		return *d.old, nil
	}
	res := damasktrail.EndpointUpdate{Revision: d.revision}
	for _, e := range d.endpoints.All() {
		res.Changes = append(res.Changes, damasktrail.EndpointChange{Endpoint: e})
	}
	return res, nil
}

func (d *fakeDirectory) waitForChange(ctx context.Context, after uint64, wait time.Duration) error {
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		d.mu.Lock()
		changed, down := d.revision > after, d.down
		d.mu.Unlock()
		if down {
			return io.ErrUnexpectedEOF
		}
		if changed {
			return nil
		}
	}
	return damasktrail.ErrUnchanged
}

func (d *fakeDirectory) WatchTable(ctx context.Context, w damasktrail.Watch) (damasktrail.TableUpdate, error) {
	if err := d.waitForChange(ctx, w.After, w.Wait); err != nil {
		return damasktrail.TableUpdate{}, err
	}
	return d.Table(ctx)
}

func (d *fakeDirectory) WatchEndpoints(ctx context.Context, w damasktrail.Watch) (damasktrail.EndpointUpdate, error) {
	d.mu.Lock()
	delay := d.watchDelay
	d.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return damasktrail.EndpointUpdate{}, ctx.Err()
	}
	if err := d.waitForChange(ctx, w.After, w.Wait); err != nil {
		return damasktrail.EndpointUpdate{}, err
	}
	return d.Endpoints(ctx, false)
}

// fakeEndpoint is an endpoint that counts its runs by request ID.
type fakeEndpoint struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	last *http.Request
	// handler writes the answer after the run has been counted.
	handler http.HandlerFunc
}

func newFakeEndpoint(t testing.TB, handler http.HandlerFunc) *fakeEndpoint {
	t.Helper()
	p := &fakeEndpoint{runs: map[string]int{}, handler: handler}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		body, _ := io.ReadAll(r.Body)
		p.mu.Lock()
		p.runs[id]++
		p.last = r.Clone(context.Background())
		p.last.Body = io.NopCloser(strings.NewReader(string(body)))
		p.mu.Unlock()
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Response-Signature", "sig-"+id)
		p.handler(w, r)
	}))
	t.Cleanup(p.CloseClientConnections)
	t.Cleanup(p.Close)
	return p
}

func (p *fakeEndpoint) runCount(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

func (p *fakeEndpoint) lastRequest() *http.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// respondWith answers with a fixed body.
func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }
}

// respondNotRun answers that the request has not run.
func respondNotRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Del("Response-Signature")
		w.WriteHeader(status)
	}
}

// closeWithoutAnswer closes the connection without an answer.
func closeWithoutAnswer(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// streamEvents sends the events after the caller's Last-Event-Id up to the given
// number, and cuts the answer off after event breakAfter unless it is zero.
func streamEvents(events, breakAfter int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if i == breakAfter {
				fmt.Fprintf(w, "id: %d\nda", i+1)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// eventText returns the text of the events from first to last.
func eventText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}

// testGateway is a gateway with fake endpoints of the service s.
type testGateway struct {
	*fakeDirectory
	gateway  *gateway.Gateway
	settings gateway.Settings
	// grace is the time for a shutdown, defaultGrace if it is zero.
	grace time.Duration
	t     testing.TB
}

// defaultGrace is the time for a shutdown of a gateway in most tests.
const defaultGrace = 4 * time.Second

// givenAddresses has the addresses that freeAddress has returned.
var givenAddresses sync.Map

// freeAddress returns an address that is free for TCP and UDP and that no other test of
// this process gets.
func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		address := l.Addr().String()
		p, err := net.ListenPacket("udp4", address)
		l.Close()
		if err != nil {
			continue
		}
		p.Close()
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// routes returns routes of each kind to the service s, each with the prefix /NAME/.
func routes() []routing.Route {
	route := func(name string, kind routing.Kind, resume bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Attempts: 2, Resume: resume,
			Timeout: 3 * time.Second, Objective: time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}},
		}
	}
	open := route("open", routing.Idempotent, false)
	open.Anonymous = true
	return []routing.Route{
		open,
		route("read", routing.Idempotent, false),
		route("send", routing.NonIdempotent, false),
		route("stream", routing.Streaming, false),
		route("resume", routing.Streaming, true),
	}
}

func organisations() []routing.Organisation {
	return []routing.Organisation{
		{Name: "acme", Keys: []string{"key"}},
		{Name: "small", Keys: []string{"small"}, Rate: 1, Burst: 100, CountsTokens: true, UncountedTokens: 10},
	}
}

func (s *testGateway) setTable(version uint64, o []routing.Organisation) {
	table, err := routing.New(version, routing.Limits{BodyBytes: 1 << 20}, routes(), []routing.Service{{Name: "s"}}, o)
	require.NoError(s.t, err)
	s.update(func() { s.table = table })
}

func start(t testing.TB, endpoints ...*fakeEndpoint) *testGateway {
	t.Helper()
	return startWithGrace(t, defaultGrace, endpoints...)
}

// startWithGrace starts a gateway with the given time for a shutdown.
func startWithGrace(t testing.TB, grace time.Duration, endpoints ...*fakeEndpoint) *testGateway {
	t.Helper()
	s := &testGateway{fakeDirectory: &fakeDirectory{}, grace: grace, t: t}
	s.setTable(1, organisations())
	for i, p := range endpoints {
		s.endpoints = s.endpoints.With(fleet.Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Address: strings.TrimPrefix(p.URL, "http://"), Domain: "d", Slots: 4,
		})
	}
	tasks, err := s.startOnFreePorts()
	for range 5 {
		// Another process may take a free port before the gateway does.
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		tasks, err = s.startOnFreePorts()
	}
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, s.gateway.Close())
		tasks.Close()
	})
	require.Eventually(t, s.ready, 5*time.Second, 5*time.Millisecond)
	return s
}

// startOnFreePorts starts the gateway on ports that were free a moment before.
func (s *testGateway) startOnFreePorts() (tasks *group.Group, err error) {
	s.settings = gateway.Settings{
		Name: "entry", Domain: "d", Callers: freeAddress(s.t), Ready: freeAddress(s.t), Peers: freeAddress(s.t), Directory: "127.0.0.1:1",
		Grace: s.grace, Revocation: 3 * time.Second, Evacuation: 5 * time.Second, Retry: gateway.RetryBound{Ratio: 0.2, Slack: 56},
	}
	tasks = group.New(context.Background())
	m, err := telemetry.New("gateway")
	require.NoError(s.t, err)
	s.gateway, err = gateway.New(s.settings, s.fakeDirectory, platform.Dialect{}, timer.New(tasks), timer.Uptime, 1, tasks, m, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err == nil {
		err = s.gateway.Start(func(err error) { s.t.Error(err) })
	}
	if err != nil {
		if s.gateway != nil {
			_ = s.gateway.Close()
		}
		tasks.Close()
	}
	return tasks, err
}

// ready probes the readiness as the balancer does.
func (s *testGateway) ready() bool {
	r, err := http.Get("http://" + s.settings.Ready + "/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// response is the answer as the caller receives it.
type response struct {
	status int
	header http.Header
	body   string
	// err is set when the answer was not received completely.
	err error
}

// send sends a request as a caller of acme, with additional header fields given as
// pairs.
func (s *testGateway) send(path, id, body string, fields ...string) response {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.Callers+path, strings.NewReader(body))
	require.NoError(s.t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("X-Api-Key", "key")
	r.Header.Set("Deadline-Ms", "2000")
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	return response{status: answer.StatusCode, header: answer.Header, body: string(b), err: err}
}
