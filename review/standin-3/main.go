// Command standin3 plays one case of the review: it starts gateways as processes, and is the
// store, the replicas and the requesters. It exits with 0 if the rule held, with 1 if it was
// broken and with 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

var zones = []string{"gent-a", "gent-b", "brussel-c"}

// world is what a case needs. Its methods are safe for concurrent use.
type world struct {
	root, dir string
	// program and arguments are the command of the deploy file.
	program   string
	arguments []string
	trouble   bool
	start     time.Time
	// network is the first three bytes of the loopback addresses of this run.
	network string
	tasks   sync.WaitGroup

	mu       sync.Mutex
	record   *bufio.Writer
	gateways []*gateway
	runs     []run
}

// cases has the cases by name.
var cases = map[string]func(w *world) (broken bool){
	"removal": silentRemoval,
	"leaving": leavingReplicas,
	"crowd":   slowCrowd,
	"server":  serverWide,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs one case and returns its exit status.
func play(f func(w *world) bool, record string) (status int) {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, _ := os.Getwd()
	w := &world{
		root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: bufio.NewWriter(out),
		network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250)),
	}
	defer func() {
		cannot, failed := recover().(cannotRun)
		if failed {
			status = 2
			w.note("the case cannot run: %s", string(cannot))
		}
		for _, g := range w.gateways {
			g.kill()
		}
		w.mu.Lock()
		fmt.Fprintf(w.record, "exit status %d\n", status)
		_ = w.record.Flush()
		_ = out.Close()
		w.mu.Unlock()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
	}()
	w.readCommand()
	w.note("trouble: %v", w.trouble)
	w.watchLimits()
	if f(w) {
		return 1
	}
	return 0
}

// watchLimits ends the case after its longest time or a signal, with all that it started.
func (w *world) watchLimits() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	w.tasks.Go(func() {
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		for _, g := range w.gateways {
			if g.cmd != nil {
				_ = g.cmd.Process.Kill()
			}
		}
		w.mu.Lock()
		fmt.Fprintln(w.record, "the case was ended from outside or took too long")
		_ = w.record.Flush()
		_ = os.RemoveAll(w.dir)
		os.Exit(2)
	})
}

// readCommand reads the command of the gateway from the deploy file.
func (w *world) readCommand() {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	w.must(err)
	_, section, _ := strings.Cut(string(data), "[roles.gateway]")
	for line := range strings.Lines(section) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			words := strings.Fields(strings.Trim(value, `"`))
			w.program, w.arguments = filepath.Join(w.root, words[0]), words[1:]
			if _, err := os.Stat(w.program); err != nil {
				w.cannotRun("%v", err)
			}
			return
		}
	}
	w.cannotRun("the deploy file has no command for the gateway")
}

type cannotRun string

func (w *world) cannotRun(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }

func (w *world) must(err error) {
	if err != nil {
		w.cannotRun("%v", err)
	}
}

// ip returns a loopback address of this run.
func (w *world) ip(n int) string { return w.network + fmt.Sprint(n+1) }

func (w *world) listen(ip string) net.Listener {
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	w.must(err)
	return l
}

// freePort returns the number of a port that is free on the first address of this run.
func (w *world) freePort() string {
	l := w.listen(w.ip(10))
	defer func() { _ = l.Close() }()
	_, port, err := net.SplitHostPort(l.Addr().String())
	w.must(err)
	return port
}

// at returns a time in seconds since the start of the case.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(w.start).Seconds()) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
}

// began records a run and returns its number.
func (w *world) began(r run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	return len(w.runs) - 1
}

func (w *world) ended(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].ended = time.Now()
}

// allRuns returns the runs so far.
func (w *world) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// startGateways starts gateways and waits until they are ready and in touch.
func (w *world) startGateways(n int, s *store) []*gateway {
	w.gateways = newGateways(w, n, s)
	for _, g := range w.gateways {
		g.start()
	}
	for _, g := range w.gateways {
		g.awaitReady()
	}
	time.Sleep(stabilityWindow + 500*time.Millisecond)
	return w.gateways
}

// Bounds of the deployment, as in the settings.
const (
	stabilityWindow = 3 * time.Second
	drainTime       = 2 * time.Second
)
