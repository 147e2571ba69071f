// Package standin has the stand-ins for the cases of the review: a store, replicas and
// requesters as ../given/kit/more/system/PROTOCOL.md tells them, and a player that starts
// gateways as processes of their own. It is built by review/build.sh and started by run.sh
// of a case as: standin CASE ROOT RECORD.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the players by name. Each returns whether the rule held.
var cases = map[string]func(*world) (held bool, err error){
	"hang":   playHang,
	"keys":   playKeys,
	"path":   playPath,
	"tenant": playTenant,
	"writer": playWriter,
}

// TestMain is the program.
func TestMain(*testing.M) { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1], args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	done := make(chan int, 1)
	go func() {
		held, err := cases[args[0]](w)
		switch {
		case err != nil:
			w.note("case could not run: %v", err)
			done <- exitNotRun
		case held:
			w.note("rule held")
			done <- exitHeld
		default:
			w.note("rule broken")
			done <- exitBroken
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-done:
		return code
	case <-stopped:
		w.note("case could not run: stopped")
		return exitNotRun
	case <-time.After(110 * time.Second):
		w.note("case could not run: time is over")
		return exitNotRun
	}
}
