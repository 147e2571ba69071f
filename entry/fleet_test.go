package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/agent"
	"damasktrail.dev/certificate"
	"damasktrail.dev/certificate/certificatetest"
	"damasktrail.dev/engine"
	"damasktrail.dev/entry"
	"damasktrail.dev/group"
	"damasktrail.dev/member"
	"damasktrail.dev/set"
	"damasktrail.dev/source"
	"damasktrail.dev/standin"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// fleet is a small deployment in one process: real entries and agents over QUIC
// on loopback, with stand-ins for the platform and the endpoints.
type fleet struct {
	platform  *standin.Platform
	endpoints []*standin.Endpoint
	// servers are those of the endpoints.
	servers []*httptest.Server
	agents  []*agent.Agent
	entries []*entry.Entry
	callers []string
}

// newFleet starts n entries and one agent for each of the given endpoints.
func newFleet(t *testing.T, n int, endpoints ...standin.EndpointOptions) *fleet {
	t.Helper()
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	clock := timer.New(tasks)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	issueCredentials := certificatetest.New(t).Credentials
	f := &fleet{platform: standin.NewPlatform(standin.PlatformOptions{Clock: clock, Rate: 2000})}
	platformServer := httptest.NewServer(f.platform.Handler())
	t.Cleanup(platformServer.Close)
	document, err := os.ReadFile("../samples/jury.json")
	require.NoError(t, err)
	require.NoError(t, f.platform.PublishDocument(document))
	var vms []member.VM
	for i, o := range endpoints {
		name, setName := fmt.Sprintf("jurying-%d", i), "jurying"
		if o.Kind == standin.KindService {
			setName = "dossier"
		}
		o.Clock = clock
		e := standin.NewEndpoint(o)
		t.Cleanup(e.Close)
		server := httptest.NewUnstartedServer(e.Handler())
		server.Config.ConnContext = e.ConnContext
		server.Start()
		t.Cleanup(server.Close)
		m, err := telemetry.New("agent")
		require.NoError(t, err)
		a, err := agent.New(agent.Settings{
			Name: name, Domain: "be-a", Set: setName, Listen: "127.0.0.1:0",
			Inflight: 64, Waiting: 256, Tokens: 400_000, Ticket: time.Minute,
		}, issueCredentials(certificate.RoleAgent, name).ServerConfig(set.Of(certificate.RoleEntry)),
			engine.New(server.URL, nil, clock, engine.Settings{Service: setName == "dossier"}), clock, tasks, m, log)
		require.NoError(t, err)
		t.Cleanup(func() { _ = a.Close() })
		a.Start()
		f.endpoints, f.servers, f.agents = append(f.endpoints, e), append(f.servers, server), append(f.agents, a)
		vms = append(vms, member.VM{
			Name: name, Role: member.RoleAgent, Address: a.Address(), Domain: "be-a", Set: setName, State: member.StateLive,
		})
	}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		own := issueCredentials(certificate.RoleEntry, name)
		m, err := telemetry.New("entry")
		require.NoError(t, err)
		e, err := entry.New(entry.Settings{
			Name: name, Domain: "be-a", Gossip: "127.0.0.1:0", Subset: 11, MaxOpenRequests: 4096, MaxBodyBytes: 1 << 16,
		}, entry.TLS{
			Agents:  own.ClientConfig(certificate.RoleAgent),
			Entries: own.ClientConfig(certificate.RoleEntry),
			Listen:  own.ServerConfig(set.Of(certificate.RoleEntry)),
		}, source.New(platformServer.URL, http.DefaultClient, clock).WithWait(time.Second), clock, tasks, m, log)
		require.NoError(t, err)
		t.Cleanup(func() { _ = e.Close() })
		server := httptest.NewServer(e.Callers())
		t.Cleanup(server.Close)
		f.entries, f.callers = append(f.entries, e), append(f.callers, server.URL)
		vms = append(vms, member.VM{
			Name: name, Role: member.RoleEntry, Address: e.Address(), Domain: "be-a", State: member.StateLive,
		})
	}
	list, err := member.New(1, vms)
	require.NoError(t, err)
	require.NoError(t, f.platform.PublishVMs(list.Encode()))
	for _, e := range f.entries {
		e.Start()
	}
	require.Eventually(t, f.ready, 10*time.Second, 10*time.Millisecond)
	return f
}

// ready reports whether each entry is ready and has a live link to each agent.
func (f *fleet) ready() bool {
	for _, e := range f.entries {
		live := 0
		for _, a := range e.Status().(entry.Status).Agents {
			if a.State == "live" {
				live++
			}
		}
		if !e.Ready() || live < len(f.agents) {
			return false
		}
	}
	return true
}
