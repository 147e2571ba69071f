package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is one process of the product, started with the command of the deploy file.
type gateway struct {
	world            *world
	name, zone, ip   string
	callers, ready   string
	control          string
	settings, stdout string
	seeds            []string
	storeAddr        string
	cmd              *exec.Cmd
	exited           chan struct{}
}

// newGateways returns gateways in three zones that know the first three as seeds.
func newGateways(w *world, n int, s *store) []*gateway {
	var res []*gateway
	var seeds []string
	// Ports are the same on all machines.
	callers, ready, control := w.freePort(), w.freePort(), w.freePort()
	for i := range n {
		ip := w.ip(10 + i)
		g := &gateway{world: w, name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: ip, storeAddr: s.addr}
		g.callers, g.ready, g.control = net.JoinHostPort(ip, callers), net.JoinHostPort(ip, ready), net.JoinHostPort(ip, control)
		g.settings = filepath.Join(w.dir, g.name+".yaml")
		g.stdout = filepath.Join(w.dir, g.name+".log")
		if i < 3 {
			seeds = append(seeds, g.control)
		}
		res = append(res, g)
	}
	for _, g := range res {
		g.seeds = seeds
	}
	return res
}

func (g *gateway) writeSettings() {
	text := strings.NewReplacer(
		"{name}", g.name, "{zone}", g.zone, "{ip}", g.ip, "{callers}", g.callers, "{ready}", g.ready, "{control}", g.control, "{seeds}", `"`+strings.Join(g.seeds, `", "`)+`"`, "{store}", g.storeAddr,
	).Replace(settingsTemplate)
	g.world.must(os.WriteFile(g.settings, []byte(text), 0o600))
}

// start starts the process.
func (g *gateway) start() {
	g.writeSettings()
	out, err := os.OpenFile(g.stdout, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	g.world.must(err)
	g.cmd = exec.Command(g.world.program, g.world.arguments...)
	g.cmd.Dir = g.world.root
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKTRAIL_BOOT=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.world.must(g.cmd.Start())
	g.world.note("%s starts", g.name)
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	g.world.tasks.Go(func() {
		err := cmd.Wait()
		g.world.note("%s has ended: %v", g.name, err)
		_ = out.Close()
		close(exited)
	})
}

func (g *gateway) signal(s syscall.Signal) {
	g.world.note("%s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// isReady asks for readiness as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	g.world.cannotRun("%s is not ready after 15 s", g.name)
}

// settingsTemplate is the settings file of a machine, as the page on the deployment shows it.
const settingsTemplate = `node_name: "{name}"
role: "gateway"
machine_class: "edge"
serves: ["edge", "control"]
ip: "{ip}"
zone: "{zone}"
region: "be-central"
zones: {gent-a: "be-central", gent-b: "be-central", brussel-c: "be-central"}
listen_addresses:
  frontend: "{callers}"
  readiness: "{ready}"
  control_plane: "{control}"
internal_port_range: [7600, 7615]
seed_nodes: [{seeds}]
bootstrap: true
counts_as_loss: false
limits: {cpu_share: 0.304, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
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
  retry_slack: 56
  quota_window_s: 8
  quota_overrun: 0.25
  quota_slack: 190000
  recovery_s: 12
  iteration_ms: 120
  reuse_window_s: 10
platform: {address: "{store}", form: "read", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`
