package capacity

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is a program that was started by [StartProcess].
type Process struct {
	cmd *exec.Cmd
	log *os.File
}

// StartProcess starts a program and writes its output to the file log.
func StartProcess(log, program string, args ...string) (*Process, error) {
	f, err := os.Create(log) // #nosec G304 -- the path is made by the caller for this run
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...) //nolint:noctx,gosec // Stop ends it; the caller names a program of this repository.
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return &Process{cmd: cmd, log: f}, nil
}

// Stop kills the process and waits for its end.
func (p *Process) Stop() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	_ = p.log.Close()
}

// Log returns the output of the process so far.
func (p *Process) Log() string {
	b, _ := os.ReadFile(p.log.Name())
	return string(b)
}

// CPU returns the processor time used so far, user and system. It adds up the
// nanoseconds of all threads, since /proc/PID/stat counts only in units of 10 ms.
func (p *Process) CPU() (res time.Duration, err error) {
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		b, err := os.ReadFile(name) // #nosec G304 -- a file of the kernel
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			continue // The thread has ended.
		}
		if err != nil {
			return 0, err
		}
		text, _, _ := strings.Cut(string(b), " ")
		ns, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return 0, err
		}
		res += time.Duration(ns)
	}
	if res == 0 {
		return 0, fmt.Errorf("process %d has no processor time", p.cmd.Process.Pid)
	}
	return res, nil
}

// Memory returns the resident and the private (anonymous) memory in bytes. The
// difference is almost entirely pages of the program file.
func (p *Process) Memory() (resident, private float64, err error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) != 3 || fields[2] != "kB" {
			continue
		}
		kb, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			return 0, 0, err
		}
		switch fields[0] {
		case "VmRSS:":
			resident = kb * 1024
		case "RssAnon:":
			private = kb * 1024
		}
	}
	return resident, private, nil
}
