package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run to record.txt.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// freePort returns a port that is free on an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// gateway is a process of the product.
type gateway struct {
	name, zone, ip          string
	callers, ready, control int
	seeds                   []string
	file                    string
	command                 *exec.Cmd
	log                     *os.File
}

func (g *gateway) address() string     { return fmt.Sprintf("%s:%d", g.ip, g.callers) }
func (g *gateway) controlAddr() string { return fmt.Sprintf("%s:%d", g.ip, g.control) }

// bounds are those of the small deployments.
const bounds = `bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stability_window_ms: 3000
  ack_timeout_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  strict_revocation: true
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_slack: 56
  quota_window_s: 8
  quota_overrun: 0.25
  quota_slack: 190000
  recovery_s: 12
  iteration_ms: 120
  reuse_window_s: 10
`

// writeSettings writes the settings file of the process.
func (g *gateway) writeSettings(folder, storeAddress string) error {
	g.file = filepath.Join(folder, g.name+".yaml")
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: "be-central"
zones: {gent-a: "be-central", gent-b: "be-central", brussel-c: "be-central"}
listen_addresses: {frontend: "%s:%d", readiness: "%s:%d", control_plane: "%s:%d"}
internal_port_range: [7600, 7615]
seed_nodes: [`, g.name, g.ip, g.zone, g.ip, g.callers, g.ip, g.ready, g.ip, g.control)
	for i, s := range g.seeds {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", s)
	}
	text += fmt.Sprintf(`]
bootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.304, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
%splatform: {address: %q, form: "read", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`, bounds, storeAddress)
	return os.WriteFile(g.file, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (g *gateway) start(root, folder string) error {
	var err error
	g.log, err = os.OpenFile(filepath.Join(folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command("target/gateway", "--metrics", "7610")
	g.command.Dir = root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAMASKTRAIL_BOOT=" + g.file}
	g.command.Stdout, g.command.Stderr = g.log, g.log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.command.Start()
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
		_ = g.command.Wait()
		g.command = nil
		_ = g.log.Close()
	}
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady(patience time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", g.ip, g.ready))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " is not ready")
}

// background has the tasks that end with the process.
var background sync.WaitGroup

// lastID numbers the requests.
var lastID atomic.Uint64

// reply is what a requester got.
type reply struct {
	status int
	signed bool
	body   []byte
	err    error
}

// channel is a kept channel of a requester to one gateway.
type channel struct {
	client *http.Client
	base   string
}

func newChannel(g *gateway, local string) *channel {
	d := &net.Dialer{Timeout: time.Second}
	if local != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(local)}
	}
	return &channel{
		base: "http://" + g.address(),
		client: &http.Client{Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
		}},
	}
}

// ask sends one request and reads its answer.
func (c *channel) ask(ctx context.Context, method, host, path, id string, header map[string]string, body io.Reader) reply {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return reply{err: err}
	}
	r.Host = host
	r.Header.Set(wire.ID, id)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	res, err := c.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, signed: res.Header.Get(wire.Signature) != "", body: data, err: err}
}
