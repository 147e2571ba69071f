package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/certificate"
	"damasktrail.dev/group"
	"damasktrail.dev/member"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

// Site builds and runs the real programs. It holds the directory of their files,
// their certificate authority and a stand-in of the platform.
type Site struct {
	dir       string
	tasks     *group.Group
	clock     damasktrail.Clock
	authority *certificate.Authority
	platform  *standin.Platform
	server    *httptest.Server
	processes []*Process
	// closers stop stand-ins that run within the test process.
	closers []func()
}

// NewSite builds the programs into dir and starts the stand-in of the platform.
func NewSite(dir string, programs ...string) (res *Site, err error) {
	a, err := certificate.NewAuthority("capacity", certificateLifetime)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "ca.pem"), a.Pair().Certificate, 0o600); err != nil {
		return nil, err
	}
	for _, p := range programs {
		build := exec.Command("go", "build", "-buildvcs=false", "-o", filepath.Join(dir, filepath.Base(p)), "../"+p) //nolint:noctx,gosec // It ends by itself; p is a program of this repository.
		if out, err := build.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build %s: %w: %s", p, err, out)
		}
	}
	tasks := group.New(context.Background())
	clock := timer.New(tasks)
	p := standin.NewPlatform(standin.PlatformOptions{Clock: clock})
	return &Site{
		dir: dir, tasks: tasks, clock: clock, authority: a, platform: p, server: httptest.NewServer(p.Handler()),
	}, nil
}

// Close ends everything that the site started.
func (s *Site) Close() {
	for _, p := range s.processes {
		p.Stop()
	}
	for _, f := range s.closers {
		f()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	s.tasks.Close()
}

func (s *Site) start(name, program string, args ...string) (*Process, error) {
	p, err := StartProcess(filepath.Join(s.dir, name+".log"), filepath.Join(s.dir, program), args...)
	if err == nil {
		s.processes = append(s.processes, p)
	}
	return p, err
}

// certificateFlags writes a certificate and key for a process and returns the flags
// for them, its name and its log level.
func (s *Site) certificateFlags(role certificate.Role, name string) ([]string, error) {
	pair, err := s.authority.Issue(role, name, loopback, certificateLifetime)
	if err != nil {
		return nil, err
	}
	cert, private := filepath.Join(s.dir, name+".pem"), filepath.Join(s.dir, name+".key")
	if err := os.WriteFile(cert, pair.Certificate, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(private, pair.Key, 0o600); err != nil {
		return nil, err
	}
	return []string{"--name", name, "--ca", filepath.Join(s.dir, "ca.pem"), "--cert", cert, "--key", private, "--log", "warn"}, nil
}

// freeAddress returns a loopback address with a free port of the network.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback[0]})
		if err != nil {
			return "", err
		}
		return c.LocalAddr().String(), c.Close()
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: loopback[0]})
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func freeAddresses(networks ...string) (res []string, err error) {
	for _, n := range networks {
		a, err := freeAddress(n)
		if err != nil {
			return nil, err
		}
		res = append(res, a)
	}
	return res, nil
}

// Program is a running entry, agent or endpoint.
type Program struct {
	*Process
	// Address serves callers of an entry, entries of an agent, or requests to an
	// endpoint. Admin serves operators and is empty for an endpoint.
	Address, Admin string
}

// Entry starts an entry at the gossip address of vm.
func (s *Site) Entry(vm member.VM) (res Program, err error) {
	addresses, err := freeAddresses("tcp", "tcp")
	if err != nil {
		return res, err
	}
	args, err := s.certificateFlags(certificate.RoleEntry, vm.Name)
	if err != nil {
		return res, err
	}
	args = append(args, "--domain", vm.Domain, "--callers", addresses[0], "--admin", addresses[1], "--gossip", vm.Address, "--platform", s.server.URL)
	p, err := s.start(vm.Name, "entry", args...)
	return Program{p, addresses[0], addresses[1]}, err
}

// Agent starts an agent at the address of vm, with limits that no load of this
// package reaches.
func (s *Site) Agent(vm member.VM, endpoint string) (res Program, err error) {
	addresses, err := freeAddresses("tcp")
	if err != nil {
		return res, err
	}
	args, err := s.certificateFlags(certificate.RoleAgent, vm.Name)
	if err != nil {
		return res, err
	}
	args = append(args, "--domain", vm.Domain, "--set", vm.Set, "--listen", vm.Address, "--admin", addresses[0],
		"--endpoint", "http://"+endpoint, "--inflight", "4096", "--waiting", "4096")
	p, err := s.start(vm.Name, "agent", args...)
	return Program{p, vm.Address, addresses[0]}, err
}

// Endpoint starts a stand-in of an endpoint with a large batch. A decode step of
// n requests takes step * (1 + (n-1)/20).
func (s *Site) Endpoint(name string, step time.Duration) (res Program, err error) {
	addresses, err := freeAddresses("tcp")
	if err != nil {
		return res, err
	}
	p, err := s.start(name, "endpoint", "--listen", addresses[0], "--batch", "4096", "--prefill-rate", "1e9", "--step", step.String(), "--cache", "-1")
	return Program{p, addresses[0], ""}, err
}

// Ready waits until the operators' listener at address answers path with status 200.
func (s *Site) Ready(address, path string) error {
	ctx, cancel := context.WithTimeout(s.tasks.Context(), 20*time.Second)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
		if err != nil {
			return err
		}
		res, err := http.DefaultClient.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := s.clock.Sleep(ctx, 20*time.Millisecond); err != nil {
			return fmt.Errorf("program at %s is not ready: %w", address, err)
		}
	}
}
