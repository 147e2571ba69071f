package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
)

// crashingEndpoints are the endpoints of a fleet that crash under a message and start
// again at their addresses.
type crashingEndpoints struct {
	t     *testing.T
	fleet *fleet
	fault standin.EndpointFault

	mu      sync.Mutex
	crashes []time.Time
}

// newCrashingEndpoints returns a fleet of three entries and n endpoints with a fault that
// crashes them.
func newCrashingEndpoints(t *testing.T, n int, fault standin.EndpointFault) *crashingEndpoints {
	t.Helper()
	c := &crashingEndpoints{t: t, fault: fault}
	var options []standin.EndpointOptions
	for i := range n {
		options = append(options, c.options(i))
	}
	c.fleet = newFleet(t, 3, options...)
	for _, e := range c.fleet.endpoints {
		e.SetFault(fault)
	}
	return c
}

// options returns the options of the endpoint with the number i.
func (c *crashingEndpoints) options(i int) standin.EndpointOptions {
	return standin.EndpointOptions{Crash: func() { go c.crash(i) }}
}

// crash ends an endpoint and starts another in its place.
func (c *crashingEndpoints) crash(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
	server := c.fleet.servers[i]
	address := server.Listener.Addr().String()
	_ = server.Config.Close()
	time.AfterFunc(1500*time.Millisecond, func() { c.restart(i, address) })
}

func (c *crashingEndpoints) restart(i int, address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return
	}
	e := standin.NewEndpoint(c.options(i))
	c.t.Cleanup(e.Close)
	e.SetFault(c.fault)
	server := &http.Server{Handler: e.Handler(), ConnContext: e.ConnContext}
	c.mu.Lock()
	c.fleet.servers[i].Config, c.fleet.servers[i].Listener = server, l
	c.mu.Unlock()
	c.t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

// crashTimes returns the times of the crashes.
func (c *crashingEndpoints) crashTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.crashes)
}

// after returns the number of crashes later than the given time after the fifth.
func (c *crashingEndpoints) after(d time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := 0
	for _, at := range c.crashes {
		if len(c.crashes) >= 5 && at.Sub(c.crashes[4]) > d {
			res++
		}
	}
	return res
}

// Guards against endpoints that crash one after the other under chats of which no two are
// alike but that share one message, and against refusing sound chats that share their
// caller and their other messages.
func TestMessageThatCrashesEndpoints(t *testing.T) {
	c := newCrashingEndpoints(t, 8, standin.EndpointFault{Marker: "crash"})
	body := func(message string, i int) string {
		return fmt.Sprintf(`{"model":"jury","max_tokens":3,"messages":[{"role":"system","content":"Be fair."},{"role":"user","content":"%s"},{"role":"user","content":"number %d"}]}`, message, i)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	begin := time.Now()
	for i := 0; time.Since(begin) < 14*time.Second; i++ {
		caller, late := c.fleet.callers[i%3], time.Since(begin) > 9*time.Second
		wg.Go(func() {
			status, _, _ := send("POST", caller+chat, body(fmt.Sprint("sound ", i%5), i))
			mu.Lock()
			defer mu.Unlock()
			if late {
				sent++
				if status == http.StatusOK {
					served++
				}
			}
		})
		if i%5 == 0 {
			wg.Go(func() {
				status, _, _ := send("POST", caller+chat, body("crash", 1000000+i))
				assert.NotEqual(t, http.StatusOK, status)
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("%d endpoints crashed, %d of them late; %d of %d sound chats were served", len(c.crashes), c.after(3*time.Second), served, sent)
	require.NotEmpty(t, c.crashes)
	require.LessOrEqual(t, c.after(3*time.Second), 3)
	require.GreaterOrEqual(t, served*100, sent*95)
}

// Guards against a caller that learns of a crash amid its stream before the other entries do,
// and that crashes one endpoint after another by sending the request again at once.
func TestCrashIsToldBeforeStreamIsCut(t *testing.T) {
	const (
		told  = 250 * time.Millisecond
		limit = 2
	)
	c := newCrashingEndpoints(t, 6, standin.EndpointFault{Marker: "crash", After: 3})
	const body = `{"model":"jury","max_tokens":9,"stream":true,"messages":[{"role":"user","content":"crash"}]}`
	for i := range 6 {
		before := len(c.crashTimes())
		_, _, _ = send("POST", c.fleet.callers[i%3]+chat, body)
		if crashes := c.crashTimes(); len(crashes) > before {
			require.GreaterOrEqual(t, time.Since(crashes[before]), told)
		}
	}
	require.NotEmpty(t, c.crashTimes())
	require.LessOrEqual(t, len(c.crashTimes()), limit)
}
