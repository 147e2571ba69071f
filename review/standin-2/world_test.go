// Package standin2 has the stand-ins of the second review: the platform's store, model
// replicas and requesters, and a world that runs gateways of the project as separate
// processes. It is built as a test binary, whose argument -case names the case to play.
package standin2

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 110 * time.Second

var (
	caseName   = flag.String("case", "", "case to play")
	binary     = flag.String("gateway", "", "path of the gateway program")
	recordPath = flag.String("record", "", "path of the record")
	trouble    = flag.Bool("trouble", true, "play the disruption")
)

// cases has the function of each case. It reports whether the rule was broken.
var cases = map[string]func(w *world) bool{}

// TestMain plays one case instead of tests.
func TestMain(*testing.M) {
	flag.Parse()
	os.Exit(play())
}

func play() int {
	f, found := cases[*caseName]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", *caseName)
		return exitFailed
	}
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	current.Store(w)
	stop := time.AfterFunc(caseLimit, func() { must(errTimeLimit) })
	defer stop.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { must(fmt.Errorf("ended by %v", <-signals)) }()
	if f(w) {
		w.logf("rule broken")
		return exitBroken
	}
	w.logf("rule held")
	return exitHeld
}

// world is a small deployment.
type world struct {
	dir   string
	start time.Time
	store *store
	// gateways has all gateway processes that were started.
	gateways []*gateway

	mu     sync.Mutex
	record *os.File
	once   sync.Once
}

func newWorld() (*world, error) {
	record, err := os.Create(*recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, start: time.Now(), record: record}
	w.store = newStore(w)
	return w, nil
}

// close ends all processes that the world started. Each call returns when that is done: a
// requester that fails beside another must not end this process before.
func (w *world) close() {
	w.once.Do(func() {
		for _, g := range w.gateways {
			g.kill()
		}
		_ = os.RemoveAll(w.dir)
	})
}

// settle waits until the gateways are in touch: longer than stability_window_ms.
func (w *world) settle() { time.Sleep(3500 * time.Millisecond) }

// logf writes a line to the record, with the time since the start of the case.
func (w *world) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

// current is the world of the case that is played.
var current atomic.Pointer[world]

var errTimeLimit = errors.New("the time limit has passed")

// must ends the case as one that could not run if there is an error.
func must(err error) {
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "case could not run:", err)
	if w := current.Load(); w != nil {
		w.logf("case could not run: %v", err)
		w.close()
	}
	os.Exit(exitFailed)
}

// freeAddress returns an address with a free port on a loopback IP.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// gateway is a gateway process.
type gateway struct {
	world              *world
	name, ip, zone     string
	front, ready, peer string
	settings           string
	command            *exec.Cmd
	ended              chan struct{}
	// log has what the process wrote to its standard output and error.
	log string
}

// place gives a gateway its addresses without starting it.
func (w *world) place(i int, zone string) *gateway {
	// Two cases that run at the same time use different addresses.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 100+pid%100, pid/100%250, i+1)
	return &gateway{
		world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip, zone: zone,
		front: freeAddress(ip), ready: freeAddress(ip), peer: freeAddress(ip),
		settings: filepath.Join(w.dir, fmt.Sprintf("settings-%d.yaml", i+1)),
		log:      filepath.Join(w.dir, fmt.Sprintf("gateway-%d.log", i+1)),
	}
}

// configure writes the settings file of the gateway, like that of a small deployment.
func (g *gateway) configure(storeAddress string, seeds []string) {
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "edge"
serves: ["edge", "control"]
ip: %q
zone: %q
region: "pl-central"
zones: {lodz-a: "pl-central", lodz-b: "pl-central", lodz-c: "pl-central"}
listen_addresses: {frontend: %q, readiness: %q, control_plane: %q}
internal_port_range: [7600, 7615]
seed_nodes: [%s]
bootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.304, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "virtual_ip"
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, reuse_after_s: 2, stability_window_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revocation: true, revoke_ms: 5000, retry_budget_ratio: 0.2, retry_window_s: 10, retry_slack: 52, quota_window_s: 8, quota_overrun: 0.25, quota_slack: 190000, recovery_s: 12, iteration_ms: 120, reuse_window_s: 10}
platform: {address: %q, form: "read", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`, g.name, g.ip, g.zone, g.front, g.ready, g.peer, `"`+strings.Join(seeds, `", "`)+`"`, storeAddress)
	must(os.WriteFile(g.settings, []byte(text), 0o600))
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	must(err)
	g.command = exec.Command(*binary, "--metrics", "7610")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKTRAIL_BOOT=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	must(g.command.Start())
	ended := make(chan struct{})
	g.ended = ended
	go func() {
		err := g.command.Wait()
		g.world.logf("%s ended: %v", g.name, err)
		_ = log.Close()
		close(ended)
	}()
	g.world.logf("%s started, pid %d", g.name, g.command.Process.Pid)
}

func (g *gateway) signal(s syscall.Signal) {
	g.world.logf("%s gets %v", g.name, s)
	_ = g.command.Process.Signal(s)
}

// kill ends the process.
func (g *gateway) kill() {
	if g.command == nil || g.command.Process == nil {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	<-g.ended
}

// isReady asks the gateway whether it is ready.
func (g *gateway) isReady() bool {
	c, err := open(g.ready, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	a, err := c.do("GET /readyz HTTP/1.1\r\nHost: " + g.ready + "\r\nConnection: close\r\n\r\n")
	return err == nil && a.status == http.StatusOK
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			g.world.logf("%s is ready", g.name)
			return
		}
	}
	log, _ := os.ReadFile(g.log)
	must(fmt.Errorf("%s is not ready: %s", g.name, log))
}

// startGateways starts n gateways that know each other, and waits until all are ready.
func (w *world) startGateways(n int) []*gateway {
	zones := []string{"lodz-a", "lodz-b", "lodz-c"}
	var seeds []string
	for i := range n {
		g := w.place(i, zones[i%len(zones)])
		w.gateways = append(w.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peer)
		}
	}
	for _, g := range w.gateways {
		g.configure(w.store.address, seeds)
		g.start()
	}
	for _, g := range w.gateways {
		g.awaitReady()
	}
	return w.gateways
}

// encode returns the JSON text of a value.
func encode(v any) []byte {
	res, err := json.Marshal(v)
	must(err)
	return res
}
