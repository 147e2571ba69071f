package crowd

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxBodyBytes is the limit of the configuration, memoryMB and maxFDs are the limits
	// of the settings and the bounds that the tests check.
	maxBodyBytes = 4 << 20
	memoryMB     = 96
	maxFDs       = 200
	// manyFDs is the limit of crowds that test the memory alone.
	manyFDs = 2000
	// crowdAddress and callerAddress are the addresses that clients connect from.
	crowdAddress, callerAddress = "127.0.0.2", "127.0.0.3"
	ordinaryBytes               = 17_000
	startTimeout                = 10 * time.Second
)

var binary string

func TestMain(m *testing.M) { os.Exit(runAll(m)) }

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "gateway")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "./cmd/gateway")
	build.Dir, build.Stderr = "..", os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// config is the operator's configuration of all tests. Crowds and ordinary callers have
// services of their own, so that an ordinary request never waits for a slot.
func config() string {
	route := func(name string) string {
		return fmt.Sprintf(`{"name":%[1]q,"host":"h","path_prefix":"/%[1]s/","route_type":"idempotent","timeout_ms":20000,"target_latency_ms":15000,"priority":1,"service":%[1]q,"max_attempts":2}`, name)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[{"name":"crowd"},{"name":"ordinary"}],"limits":{"max_body_bytes":%d},`+
		`"tenants":[{"name":"crowd","api_keys":["crowd"],"priority":1,"rate_per_s":100000,"burst":100000},{"name":"other","api_keys":["other"],"priority":1,"rate_per_s":100000,"burst":100000}]}`,
		route("crowd"), route("ordinary"), maxBodyBytes)
}

// store is a stand-in of the metadata store whose content never changes.
type store struct{ servers map[string]string }

func item(key, value string) string {
	return fmt.Sprintf(`{"key":%q,"value":%q,"revision":1}`, key, base64.StdEncoding.EncodeToString([]byte(value)))
}

func (s store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/kv-key":
		fmt.Fprintf(w, `{"key":"op/config","value":%q,"revision":1,"as_of":1}`, base64.StdEncoding.EncodeToString([]byte(config())))
	case "/kv-range":
		var items []string
		for id, value := range s.servers {
			if key := "servers/" + id; strings.HasPrefix(key, r.URL.Query().Get("path_prefix")) {
				items = append(items, item(key, value))
			}
		}
		fmt.Fprintf(w, `{"entries":[%s],"has_more":false,"as_of":1}`, strings.Join(items, ","))
	default:
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
		}
		fmt.Fprint(w, `{"events":[],"as_of":1}`)
	}
}

// site is what the gateways of one test share: a store and an endpoint of each service.
type site struct {
	t        *testing.T
	store    *httptest.Server
	gateways []*process
}

// newSite starts the stand-ins. The endpoint of the crowd responds to uploads only when
// the test ends, to /crowd/large with 200 KiB and to /crowd/small with two bytes.
func newSite(t *testing.T) *site {
	t.Helper()
	done := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		switch {
		case r.URL.Path == "/crowd/large":
			_, _ = w.Write(make([]byte, 200<<10))
		case r.URL.Path == "/crowd/small":
			fmt.Fprint(w, "ok")
		case strings.HasPrefix(r.URL.Path, "/crowd/"):
			select {
			case <-done:
			case <-r.Context().Done():
			}
		default:
			fmt.Fprintf(w, "received %d", n)
		}
	}))
	s := store{servers: map[string]string{}}
	address := strings.TrimPrefix(endpoint.URL, "http://")
	for _, service := range []string{"crowd", "ordinary"} {
		s.servers[service] = fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"1","slots":2000,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1}`, service, address)
	}
	res := &site{t: t, store: httptest.NewServer(s)}
	t.Cleanup(func() {
		close(done)
		for _, p := range res.gateways {
			p.end()
		}
		endpoint.CloseClientConnections()
		endpoint.Close()
		res.store.CloseClientConnections()
		res.store.Close()
	})
	return res
}

// process is a running gateway.
type process struct {
	t *testing.T
	// callers, ready, control and metrics are its addresses.
	callers, ready, control, metrics string
	cmd                              *exec.Cmd
	ended                            chan struct{}
	log                              string
	fds                              int
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts n gateways and waits until they are ready.
func (s *site) start(n, fds int) []*process {
	s.t.Helper()
	var seeds []string
	for range n {
		p := &process{t: s.t, callers: freeAddress(s.t), ready: freeAddress(s.t), control: freeAddress(s.t), metrics: freeAddress(s.t), ended: make(chan struct{}), fds: fds}
		s.gateways = append(s.gateways, p)
		seeds = append(seeds, p.control)
	}
	seedList, err := json.Marshal(seeds)
	require.NoError(s.t, err)
	for i, p := range s.gateways {
		dir := s.t.TempDir()
		settings := filepath.Join(dir, "settings.yaml")
		require.NoError(s.t, os.WriteFile(settings, []byte(fmt.Sprintf(`node_name: gw%d
ip: 127.0.0.1
zone: z
listen_addresses: {frontend: %q, readiness: %q, control_plane: %q}
seed_nodes: %s
bounds: {grace_s: 4, retry_budget_ratio: 0.2, retry_slack: 56}
limits: {memory_mb: %d, max_fds: %d, cpu_share: 1}
platform: {address: %q}
`, i, p.callers, p.ready, p.control, seedList, memoryMB, fds, strings.TrimPrefix(s.store.URL, "http://"))), 0o600))
		p.log = filepath.Join(dir, "log")
		log, err := os.Create(p.log)
		require.NoError(s.t, err)
		_, port, _ := net.SplitHostPort(p.metrics)
		p.cmd = exec.Command(binary, "--settings", settings, "--metrics", port)
		p.cmd.Stdout, p.cmd.Stderr = log, log
		p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		require.NoError(s.t, p.cmd.Start())
		require.NoError(s.t, log.Close())
		go func() {
			defer close(p.ended)
			_ = p.cmd.Wait()
		}()
	}
	for _, p := range s.gateways {
		require.Eventually(s.t, p.isReady, startTimeout, 10*time.Millisecond)
	}
	return s.gateways
}

func (p *process) isReady() bool {
	res, err := http.Get("http://" + p.ready + "/readyz")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (p *process) end() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
	if !p.t.Failed() {
		return
	}
	if data, err := os.ReadFile(p.log); err == nil {
		p.t.Logf("end of the log:\n%s", data[max(0, len(data)-2000):])
	}
}

// status returns a field of /proc/PID/status in kB.
func (p *process) status(field string) int {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process has ended")
	_, rest, found := strings.Cut(string(data), field+":")
	if !found {
		return 0
	}
	kB, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(p.t, err)
	return kB
}

func (p *process) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process has ended")
	return len(entries)
}

// check fails the test unless the process lives, is within its bounds and answers an
// ordinary request. descriptors is the largest number seen.
func (p *process) check(descriptors int) {
	p.t.Helper()
	peak, descriptors := p.status("VmHWM"), max(descriptors, p.descriptors())
	p.t.Logf("VmHWM %d kB, VmRSS %d kB, %d descriptors", peak, p.status("VmRSS"), descriptors)
	status, body := p.request(ordinaryBytes)
	select {
	case <-p.ended:
		p.t.Fatal("the process has ended")
	default:
	}
	if status != http.StatusOK || body != fmt.Sprintf("received %d", ordinaryBytes) {
		p.t.Errorf("the ordinary request got status %d: %s", status, body)
	}
	if peak = max(peak, p.status("VmHWM")); peak > memoryMB<<10 {
		p.t.Errorf("peak memory is %d kB, the limit %d kB", peak, memoryMB<<10)
	}
	if descriptors > p.fds {
		p.t.Errorf("%d descriptors were open, the limit is %d", descriptors, p.fds)
	}
}

// heldBytes returns the bytes that the account of the process has.
func (p *process) heldBytes() string {
	res, err := http.Get("http://" + p.metrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	_, value, _ := strings.Cut(string(data), "\ndamasktrail_client_bytes ")
	value, _, _ = strings.Cut(value, "\n")
	return value
}

// request sends an ordinary request with a body of n bytes on a new connection.
func (p *process) request(n int) (status int, body string) {
	p.t.Helper()
	client := &http.Client{Timeout: startTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialerFrom(callerAddress).DialContext}}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+p.callers+"/ordinary/x", strings.NewReader(strings.Repeat("x", n)))
	require.NoError(p.t, err)
	r.Host = "h"
	r.Header.Set("Attempt-Id", "ordinary")
	r.Header.Set("X-Api-Key", "other")
	res, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

func dialerFrom(address string) *net.Dialer {
	return &net.Dialer{Timeout: startTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
}
