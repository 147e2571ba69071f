package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

const (
	// propagationTime is the time after the fifth crash from which on at most three
	// requests with the part that crashes endpoints may reach one.
	propagationTime = 3 * time.Second
	// restartTime is how long a crashed endpoint accepts no connections.
	restartTime = 1500 * time.Millisecond
)

// crashingFleet is a set of endpoints that crash when they begin to answer a prompt
// with one of the bad parts. They start again at their addresses.
type crashingFleet struct {
	directory *fakeDirectory
	// partial is what an endpoint sends of an answer before it crashes; %s is the ID.
	partial string
	// portDelay is how long a crashed endpoint goes on to accept connections.
	portDelay time.Duration

	mu sync.Mutex
	// crashes and arrivals have the times of crashes and of requests by the bad part.
	crashes, arrivals map[string][]time.Time
	// ran has the IDs of the requests that reached an endpoint.
	ran     map[string]bool
	servers map[string]*http.Server
	stopped bool
}

// newCrashingFleet starts endpoints and lists them in the directory.
func newCrashingFleet(t *testing.T, d *fakeDirectory, size int, partial string, bad ...string) *crashingFleet {
	t.Helper()
	f := &crashingFleet{
		directory: d, partial: partial, crashes: map[string][]time.Time{}, arrivals: map[string][]time.Time{},
		ran: map[string]bool{}, servers: map[string]*http.Server{},
	}
	for _, part := range bad {
		f.arrivals[part] = nil
	}
	for i := range size {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		f.serve(fmt.Sprint("e", i), fmt.Sprint("d", i%2), l)
	}
	t.Cleanup(f.stop)
	return f
}

// serve runs one incarnation of an endpoint.
func (f *crashingFleet) serve(id, domain string, l net.Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		_ = l.Close()
		return
	}
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Malformed") != "" {
			w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
		if part := f.receive(r); part != "" {
			f.crash(w, r, part, fleet.Endpoint{ID: id, Domain: domain, Address: l.Addr().String()}, server)
			return
		}
		answerSlowly(w, r)
	})
	f.servers[id] = server
	go func() { _ = server.Serve(l) }()
	f.directory.update(func() {
		f.directory.endpoints = f.directory.endpoints.With(fleet.Endpoint{
			ID: id, Service: "s", Address: l.Addr().String(), Domain: domain, Slots: 4, StartedMillis: time.Now().UnixMilli(),
		})
	})
}

// receive notes a request and returns its bad part, empty if it has none.
func (f *crashingFleet) receive(r *http.Request) string {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[r.Header.Get("Attempt-Id")] = true
	for _, part := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(part, ":")
		if before, bad := f.arrivals[id]; bad {
			f.arrivals[id] = append(before, time.Now())
			return id
		}
	}
	return ""
}

// crash ends the endpoint and starts it again later.
func (f *crashingFleet) crash(w http.ResponseWriter, r *http.Request, part string, e fleet.Endpoint, server *http.Server) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	if f.partial != "" {
		fmt.Fprintf(c, f.partial, r.Header.Get("Attempt-Id"))
	}
	f.mu.Lock()
	first := f.servers[e.ID] == server
	if first {
		delete(f.servers, e.ID)
		f.crashes[part] = append(f.crashes[part], time.Now())
	}
	f.mu.Unlock()
	_ = c.Close()
	time.Sleep(f.portDelay)
	_ = server.Close()
	if !first {
		return
	}
	time.AfterFunc(restartTime, func() {
		if l, err := net.Listen("tcp4", e.Address); err == nil {
			f.serve(e.ID, e.Domain, l)
		}
	})
}

func (f *crashingFleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// lateArrivals returns the number of requests with the part that reached an endpoint
// later than propagationTime after the fifth crash under it.
func (f *crashingFleet) lateArrivals(part string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes[part]) < 5 {
		return 0
	}
	end := f.crashes[part][4].Add(propagationTime)
	return len(slices.DeleteFunc(slices.Clone(f.arrivals[part]), func(at time.Time) bool { return !at.After(end) }))
}

// soundFrom returns the time from which on sound requests are served: twice
// propagationTime after the fifth crash under each part, or the first if there are fewer.
func (f *crashingFleet) soundFrom() (res time.Time, come bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part := range f.arrivals {
		crashes := f.crashes[part]
		if len(crashes) == 0 {
			return res, false
		}
		from := crashes[0]
		if len(crashes) >= 5 {
			from = crashes[4]
		}
		if from = from.Add(2 * propagationTime); from.After(res) {
			res = from
		}
	}
	return res, true
}

// endAfterSound calls end once sound requests have been served for five seconds, not before
// the given time from now.
func (f *crashingFleet) endAfterSound(ctx context.Context, least time.Duration, end func()) {
	const sound = 5 * time.Second
	for began := time.Now(); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		from, come := f.soundFrom()
		if come && time.Since(from) > sound && time.Since(began) > least {
			end()
		}
	}
}

func (f *crashingFleet) hasRun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// answerSlowly answers with ten events or, on plain routes, with a body.
func answerSlowly(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "s")
	time.Sleep(20 * time.Millisecond)
	if strings.HasPrefix(r.URL.Path, "/read/") {
		fmt.Fprint(w, "answer")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 10; i++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// soundCount counts sound requests that were sent and that were served at the first
// attempt. failures has the others by how they ended.
type soundCount struct {
	sent, served int
	failures     map[string]int
}

// sendPrompts sends a sound prompt each interval and, each badInterval, one with a part of
// bad, from callers of all members, until the context ends. It returns the counts of the sound
// prompts that were sent at soundFrom or later.
func sendPrompts(ctx context.Context, t *testing.T, members []*fleetMember, f *crashingFleet, path string, interval, badInterval time.Duration, bad func(i int) string) soundCount {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	res := soundCount{failures: map[string]int{}}
	request := func(id, parts string, sound bool) {
		defer wg.Done()
		sent := time.Now()
		got := members[rand.IntN(len(members))].send(path, id, id, "Prefix-Hash", parts)
		if !sound {
			assert.NotEqual(t, http.StatusOK, got.status, "crashing request %s", id)
			if got.status == http.StatusServiceUnavailable {
				assert.False(t, f.hasRun(id), "request %s was refused as not run and reached an endpoint", id)
			}
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if from, come := f.soundFrom(); come && !sent.Before(from) {
			res.sent++
			if got.err == nil && got.status == http.StatusOK {
				res.served++
			} else {
				res.failures[fmt.Sprintf("%d, %d bytes, %v", got.status, len(got.body), got.err)]++
			}
		}
	}
	started := time.Now()
	for i, bads := 0, 0; ctx.Err() == nil; i++ {
		wg.Add(1)
		go request(fmt.Sprint("sound-", i), fmt.Sprintf("aa:60,b%d:400,c%d:200,d%d:9", i%3, i%7, i), true)
		if due := time.Duration(bads) * badInterval; time.Since(started) > due {
			wg.Add(1)
			go request(fmt.Sprint("bad-", bads), bad(bads), false)
			bads++
		}
		time.Sleep(interval)
	}
	wg.Wait()
	return res
}

// sendMalformed sends requests that endpoints reject, from callers of all members in turn,
// until the context ends.
func sendMalformed(ctx context.Context, members []*fleetMember, path, parts string) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint("malformed-", i)
		members[i%len(members)].send(path, id, id, "Prefix-Hash", parts, "X-Malformed", "1")
		time.Sleep(100 * time.Millisecond)
	}
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	openHead    = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
)

// Guards against endpoints that crash one after the other under requests of which no two
// are alike but that share one part of their prompts, and against refusing sound
// requests that share their caller and their other parts.
func TestPartOfPromptThatCrashesEndpoints(t *testing.T) {
	// More fleets at once would be slowed by one another on a busy machine.
	const fleetsAtOnce = 2
	fleets := make(chan struct{}, fleetsAtOnce)
	for _, c := range []struct {
		name, path, partial string
		// prompts are those of crashing requests in turn; the first %d is one of a few
		// parts of sound ones, the second differs in all.
		prompts []string
		members int
		// restart says that a gateway is killed and starts again amid the crashes.
		restart bool
		// slow says that there are few requests, and that the ports of crashed endpoints
		// close late.
		slow bool
		// rejected says that endpoints reject other requests with the part as malformed.
		rejected bool
	}{
		{"in the middle, before the head", "/stream/x", "", []string{"aa:60,bad:400,c%d:200,d%d:9"}, 4, false, false, false},
		{"next to last, in chunks", "/stream/x", chunkedHead, []string{"aa:60,b%d:400,bad:200,d%d:9"}, 4, false, false, false},
		{"first, without length", "/stream/x", openHead, []string{"bad:60,b%d:400,d%d:9"}, 4, false, false, false},
		{"inside an event, without length, resumed", "/resume/x", openHead + "id: 1\nda", []string{"aa:60,b%d:400,bad:200,d%d:9"}, 4, false, false, false},
		{"only shared part, plain answer", "/read/x", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 6\r\n\r\nan", []string{"bad:%d,d%d:9"}, 4, false, false, false},
		{"two parts, large fleet", "/stream/x", chunkedHead, []string{"aa:60,b%d:400,bad:200,d%d:9", "aa:60,worse:9,c%d:200,d%d:9"}, 8, false, false, false},
		{"two parts, 24 gateways", "/stream/x", chunkedHead, []string{"aa:60,b%d:400,bad:200,d%d:9", "aa:60,worse:9,c%d:200,d%d:9"}, 24, false, false, false},
		{"a gateway starts anew", "/stream/x", chunkedHead, []string{"aa:60,bad:400,c%d:200,d%d:9"}, 4, true, false, false},
		{"other requests with the part are rejected", "/stream/x", chunkedHead, []string{"aa:60,bad:400,c%d:200,d%d:9"}, 4, false, false, true},
		{"two parts, large fleet, ports close late", "/stream/x", chunkedHead, []string{"aa:60,b%d:400,bad:200,d%d:9", "aa:60,worse:9,c%d:200,d%d:9"}, 8, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleets <- struct{}{}
			defer func() { <-fleets }()
			members := startFleet(t, c.members)
			parts := []string{"bad", "worse"}[:len(c.prompts)]
			f := newCrashingFleet(t, members[0].fakeDirectory, 14, c.partial, parts...)
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			least, interval, badInterval := 12*time.Second, 20*time.Millisecond, 250*time.Millisecond
			if c.slow {
				f.portDelay, least, interval, badInterval = 200*time.Millisecond, 30*time.Second, 60*time.Millisecond, 800*time.Millisecond
			}
			go f.endAfterSound(ctx, least, cancel)
			if c.restart {
				time.AfterFunc(3*time.Second, func() {
					members[3].stop()
					members[3].start(99)
				})
			}
			if c.rejected {
				go sendMalformed(ctx, members, c.path, "aa:60,bad:400,d:9")
			}
			bad := func(i int) string { return fmt.Sprintf(c.prompts[i%len(c.prompts)], i%3, 1000000+i) }
			sound := sendPrompts(ctx, t, members, f, c.path, interval, badInterval, bad)
			for _, part := range parts {
				late := f.lateArrivals(part)
				t.Logf("%s: %d endpoints crashed, %d of %d crashing requests came late, %d of %d sound requests were served, others %v",
					part, len(f.crashes[part]), late, len(f.arrivals[part]), sound.served, sound.sent, sound.failures)
				require.NotEmpty(t, f.crashes[part])
				require.LessOrEqual(t, late, 3, "requests with the part that reached an endpoint too late")
			}
			require.Greater(t, sound.sent, 50)
			require.GreaterOrEqual(t, sound.served*100, sound.sent*95, "sound requests served of %d", sound.sent)
		})
	}
}
