package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
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
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// coordinatorOf returns the entry that granted the slot of a request, empty when the
// request was not sent.
func (b *logBuffer) coordinatorOf(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.buffer.Bytes()) {
		var l struct{ Msg, ID, Coordinator string }
		if json.Unmarshal(line, &l) == nil && l.Msg == "request sent" && l.ID == id {
			return l.Coordinator
		}
	}
	return ""
}

// endedLimits returns the IDs of the endpoints whose limit has ended by an answer.
func (b *logBuffer) endedLimits() (res []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range bytes.Lines(b.buffer.Bytes()) {
		var l struct {
			Msg, Endpoint string
			Limited       bool
		}
		if json.Unmarshal(line, &l) == nil && l.Msg == "endpoint changed its limit" && !l.Limited {
			res = append(res, l.Endpoint)
		}
	}
	return res
}

// fleetMember is one gateway of a fleet.
type fleetMember struct {
	*testGateway
	log   *logBuffer
	tasks *group.Group
	// directory is used in place of the fake one unless it is nil.
	directory damasktrail.Directory
}

// startFleet starts gateways of two failure domains on one directory. The first of
// each domain has the most processor time.
func startFleet(t *testing.T, size int, endpoints ...*fakeEndpoint) []*fleetMember {
	t.Helper()
	d := &fakeDirectory{}
	first := &testGateway{fakeDirectory: d, t: t}
	first.setTable(1, organisations())
	for i, p := range endpoints {
		d.endpoints = d.endpoints.With(fleet.Endpoint{
			ID: fmt.Sprint("e", i), Service: "s", Address: strings.TrimPrefix(p.URL, "http://"), Domain: fmt.Sprint("d", i%2), Slots: 4,
		})
	}
	seed := freeAddress(t)
	res := make([]*fleetMember, size)
	for i := range res {
		m := &fleetMember{testGateway: &testGateway{fakeDirectory: d, t: t}, log: &logBuffer{}}
		m.settings = gateway.Settings{
			Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprint("d", i%2), Callers: freeAddress(t), Ready: freeAddress(t), Peers: freeAddress(t),
			Seeds: []string{seed}, Directory: "127.0.0.1:1", Grace: 4 * time.Second, Revocation: 3 * time.Second, Drain: 2 * time.Second,
			Retry: gateway.RetryBound{Ratio: 0.2, Slack: 56}, Millicores: max(100, 1000-100*i),
		}
		if i == 0 {
			m.settings.Peers = seed
		}
		m.start(uint64(i + 1))
		t.Cleanup(m.stop)
		res[i] = m
	}
	for _, m := range res {
		require.Eventually(t, m.ready, 5*time.Second, 5*time.Millisecond)
	}
	return res
}

// start starts a process of the gateway. Boot differs from those of other processes.
func (m *fleetMember) start(boot uint64) {
	m.t.Helper()
	err := m.tryStart(boot)
	for range 5 {
		// Another process may take a free port before the gateway does.
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		m.settings.Callers, m.settings.Ready = freeAddress(m.t), freeAddress(m.t)
		err = m.tryStart(boot)
	}
	require.NoError(m.t, err)
}

// tryStart starts a process of the gateway, or returns why it did not start.
func (m *fleetMember) tryStart(boot uint64) error {
	m.tasks = group.New(context.Background())
	metrics, err := telemetry.New("gateway")
	require.NoError(m.t, err)
	directory := m.directory
	if directory == nil {
		directory = m.fakeDirectory
	}
	m.gateway, err = gateway.New(m.settings, directory, platform.Dialect{}, timer.New(m.tasks), timer.Uptime, boot, m.tasks, metrics, slog.New(slog.NewJSONHandler(m.log, nil)))
	require.NoError(m.t, err)
	if err = m.gateway.Start(func(err error) { m.t.Error(err) }); err != nil {
		m.stop()
	}
	return err
}

// stop ends the gateway as a kill does: it tells nobody.
func (m *fleetMember) stop() {
	_ = m.gateway.Close()
	m.tasks.Close()
}

// Guards against a large fleet whose gateways do not get slots from the coordinator of
// their failure domain, against requests that fail when it is lost, and against slots
// that stay taken.
func TestFleet(t *testing.T) {
	endpoints := []*fakeEndpoint{newFakeEndpoint(t, respondWith("answer")), newFakeEndpoint(t, respondWith("answer"))}
	members := startFleet(t, 8, endpoints...)
	number := 0
	send := func(m *fleetMember) (coordinator string, status int) {
		number++
		id := fmt.Sprint("id-", number)
		got := m.send("/read/x", id, "")
		require.NoError(t, got.err)
		return m.log.coordinatorOf(id), got.status
	}
	for i, m := range members {
		require.Eventually(t, func() bool {
			coordinator, status := send(m)
			return status == http.StatusOK && coordinator == fmt.Sprintf("entry-%d", i%2)
		}, 10*time.Second, 20*time.Millisecond, "entry %d", i)
	}
	for i := range 200 {
		_, status := send(members[i%len(members)])
		require.Equal(t, http.StatusOK, status)
	}
	members[0].stop()
	for i, m := range members[1:] {
		begin := time.Now()
		_, status := send(m)
		require.Equal(t, http.StatusOK, status, "entry %d just after the loss", i+1)
		require.Less(t, time.Since(begin), time.Second)
	}
	for i, m := range members[1:] {
		require.Eventually(t, func() bool {
			coordinator, status := send(m)
			return status == http.StatusOK && coordinator == []string{"entry-1", "entry-2"}[i%2]
		}, 10*time.Second, 20*time.Millisecond, "entry %d after the loss", i+1)
	}
	// An endpoint of four slots, to which six more requests may be sent, takes all.
	for range 40 {
		_, status := send(members[3])
		require.Equal(t, http.StatusOK, status)
	}
}
