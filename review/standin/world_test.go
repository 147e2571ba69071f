package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is what a case plays in: loopback addresses, a store, replicas, gateways and the
// record.
type world struct {
	root, dir string
	trouble   bool
	start     time.Time
	// net is the beginning of the loopback addresses of this run, such as 127.31.7.
	net     string
	store   *store
	routes  []any
	tenants []any
	version int

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	replicas []*replica
	lastID   int
}

func newWorld(root, record string, trouble bool) (*world, error) {
	if _, err := os.Stat(filepath.Join(root, "target/gateway")); err != nil {
		return nil, fmt.Errorf("build the product first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, trouble: trouble, start: time.Now(), record: f}
	// A free address for the metrics of the deploy file's command shows that the whole
	// range of this run is free.
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", w.net+".1:7610")
		if err == nil {
			l.Close()
			break
		}
	}
	w.note("trouble: %v", trouble)
	if w.store, err = newStore(w.net + ".250:8225"); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all processes that this run started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// newID returns a new Attempt-Id.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("9c41d07be2a3%04x", w.lastID)
}

// configure writes the operator's configuration to the store.
func (w *world) configure() {
	w.version++
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": w.routes, "tenants": w.tenants,
		"services": []any{
			map[string]any{
				"name": "pisarz", "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 4, "kv_capacity": kvCapacity, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "sklep", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("configuration %d acknowledged", w.version)
}

// host is the host of all routes.
const host = "ficu95.example"

// route returns a route of the configuration.
func route(name, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": attempts, "anonymous": false,
		"session_affinity": kind == "streaming", "stream_resume": kind == "streaming", "target_itl_ms": 400,
	}
}

// tenant returns a tenant whose key is its name and "-key".
func tenant(name string, rate float64) map[string]any {
	return map[string]any{
		"name": name, "api_keys": []string{name + "-key"}, "priority": 1, "unit": "tokens", "uncached_tokens": 200,
		"rate_per_s": rate, "burst": rate,
	}
}

// gateway is a process of the product.
type gateway struct {
	w           *world
	name, ip    string
	seeds       []string
	command     *exec.Cmd
	exited      chan struct{}
	settingFile string
}

func (g *gateway) address() string { return g.ip + ":8221" }

// startGateways starts n gateways that are seeds of each other, and waits until all are
// ready and the stability window has passed.
func (w *world) startGateways(n int) error {
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8229", w.net, i+1))
	}
	for i := range n {
		g := &gateway{w: w, name: fmt.Sprintf("edge-lodz-%c-1", 'a'+i), ip: fmt.Sprintf("%s.%d", w.net, i+1), seeds: seeds}
		if err := g.start(); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3200 * time.Millisecond)
	return nil
}

// settings returns the settings file, as DEPLOY.md shows it.
func (g *gateway) settings() string {
	q := func(s string) string { b, _ := json.Marshal(s); return string(b) }
	var seeds strings.Builder
	for _, s := range g.seeds {
		fmt.Fprintf(&seeds, "  - %s\n", q(s))
	}
	zone := strings.TrimSuffix(strings.TrimPrefix(g.name, "edge-"), "-1")
	return fmt.Sprintf(`node_name: %s
role: "gateway"
machine_class: "edge"
serves:
  - "edge"
  - "control"
ip: %s
zone: %s
region: "pl-central"
listen_addresses:
  frontend: %s
  readiness: %s
  control_plane: %s
internal_port_range:
  - 7600
  - 7615
seed_nodes:
%sbootstrap: true
limits:
  cpu_share: 0.304
  cpu_cores: 1
  memory_mb: 284
  max_fds: 4100
data_dir: null
discovery: "platform"
heartbeat_ms: 1200
bounds:
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
  retry_slack: 52
  quota_window_s: 8
  quota_overrun: 0.25
  quota_slack: 190000
  recovery_s: 12
platform:
  address: %s
  form: "read"
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
`, q(g.name), q(g.ip), q(zone), q(g.address()), q(g.ip+":8224"), q(g.ip+":8229"), seeds.String(), q(g.w.store.address))
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.settingFile = filepath.Join(g.w.dir, g.name+".yaml")
	if err := os.WriteFile(g.settingFile, []byte(g.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/gateway", "--metrics", "7610")
	c.Dir, c.Stdout, c.Stderr = g.w.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAMASKTRAIL_BOOT=" + g.settingFile}
	if err := c.Start(); err != nil {
		return err
	}
	g.command, g.exited = c, make(chan struct{})
	exited := g.exited
	go func() {
		_ = c.Wait()
		out.Close()
		close(exited)
	}()
	g.w.note("%s started", g.name)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	_ = g.command.Process.Signal(s)
	g.w.note("%s: %v", g.name, s)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	_ = g.command.Process.Kill()
	<-g.exited
}

// userTime returns the processor time that the process has used.
func (g *gateway) userTime() string {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.command.Process.Pid))
	if f := strings.Fields(string(b)); len(f) > 13 {
		return f[13] + " ticks"
	}
	return "unknown"
}

// ready reports whether the platform's question is answered with 200.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + g.ip + ":8224/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ready() {
			g.w.note("%s ready", g.name)
			return nil
		}
		select {
		case <-g.exited:
			return errors.New(g.name + " ended")
		default:
		}
	}
	return errors.New(g.name + " does not become ready")
}
