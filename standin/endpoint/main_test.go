package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// TestMain runs the program instead of the tests in processes that startProcess
// starts.
func TestMain(m *testing.M) {
	if os.Getenv("ENDPOINT_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProcess runs the program as a process and waits until it answers.
func startProcess(t *testing.T) (c *engine.Client, control string, process *exec.Cmd) {
	t.Helper()
	address := [2]string{}
	for i := range address {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address[i] = l.Addr().String()
		l.Close()
	}
	process = exec.Command(os.Args[0], "--listen", address[0], "--control", address[1], "--step", "2ms", "--model", "m")
	process.Env = append(os.Environ(), "ENDPOINT_TEST_PROGRAM=1")
	require.NoError(t, process.Start())
	t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	c = engine.New("http://"+address[0], nil, timer.New(tasks), engine.Settings{})
	require.Eventually(t, func() bool { return c.Healthy(t.Context()) == nil }, 10*time.Second, 10*time.Millisecond)
	return c, "http://" + address[1], process
}

func newCall(prompt string) damasktrail.Call {
	return damasktrail.Call{
		ID: "a", Method: http.MethodPost, Path: "/v1/completions", Stream: true,
		Body: fmt.Appendf(nil, `{"model":"m","prompt":%q,"stream":true,"max_tokens":20}`, prompt),
	}
}

func countEvents(t *testing.T, c *engine.Client, prompt string) (events int, err error) {
	t.Helper()
	a, err := c.Run(t.Context(), newCall(prompt))
	if err != nil {
		return 0, err
	}
	defer a.Close()
	for {
		if _, err := a.Next(); err != nil {
			return events, err
		}
		events++
	}
}

// Guards against a program that cuts off answers on SIGTERM, and against a crash of
// the process that the client does not recognise as one.
func TestProgram(t *testing.T) {
	for _, after := range []int{0, 7, 20} {
		t.Run(fmt.Sprintf("crash after %d tokens", after), func(t *testing.T) {
			c, control, process := startProcess(t)
			fault := fmt.Sprintf(`{"marker":"boom","after":%d}`, after)
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, control+"/control/fault", strings.NewReader(fault))
			require.NoError(t, err)
			res, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			res.Body.Close()
			require.Equal(t, http.StatusNoContent, res.StatusCode)
			events, err := countEvents(t, c, "boom")
			if after == 20 {
				require.Equal(t, 22, events, "an answer ends before the crash")
				return
			}
			var crashed *engine.CrashedError
			require.ErrorAs(t, err, &crashed)
			require.Equal(t, after, events)
			process.Wait()
			require.Equal(t, 3, process.ProcessState.ExitCode())
		})
	}
	t.Run("stop", func(t *testing.T) {
		c, _, process := startProcess(t)
		a, err := c.Run(t.Context(), newCall("hello"))
		require.NoError(t, err)
		require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		events := 0
		for ; err == nil; events++ {
			_, err = a.Next()
		}
		require.Equal(t, 22, events-1)
		require.NoError(t, process.Wait())
	})
}
