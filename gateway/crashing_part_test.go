package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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

	mu sync.Mutex
	// bad has the parts that crash endpoints.
	bad      map[string]bool
	crashes  []time.Time
	arrivals []time.Time
	// ran has the IDs of the requests that reached an endpoint.
	ran     map[string]bool
	servers map[string]*http.Server
	stopped bool
}

// newCrashingFleet starts endpoints and lists them in the directory.
func newCrashingFleet(t *testing.T, d *fakeDirectory, size int, partial string, bad ...string) *crashingFleet {
	t.Helper()
	f := &crashingFleet{directory: d, partial: partial, bad: map[string]bool{}, ran: map[string]bool{}, servers: map[string]*http.Server{}}
	for _, part := range bad {
		f.bad[part] = true
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
		if f.receive(r) {
			f.crash(w, r, id, domain, l.Addr().String(), server)
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

// receive notes a request and reports whether it crashes the endpoint.
func (f *crashingFleet) receive(r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ran[r.Header.Get("Attempt-Id")] = true
	for _, part := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(part, ":")
		if f.bad[id] {
			f.arrivals = append(f.arrivals, time.Now())
			return true
		}
	}
	return false
}

// crash ends the endpoint and starts it again later.
func (f *crashingFleet) crash(w http.ResponseWriter, r *http.Request, id, domain, address string, server *http.Server) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	if f.partial != "" {
		fmt.Fprintf(c, f.partial, r.Header.Get("Attempt-Id"))
	}
	f.mu.Lock()
	first := f.servers[id] == server
	if first {
		delete(f.servers, id)
		f.crashes = append(f.crashes, time.Now())
	}
	f.mu.Unlock()
	_ = server.Close()
	_ = c.Close()
	if !first {
		return
	}
	time.AfterFunc(restartTime, func() {
		if l, err := net.Listen("tcp4", address); err == nil {
			f.serve(id, domain, l)
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

// crashTime returns the time of the crash with the given number, the first being 1.
func (f *crashingFleet) crashTime(number int) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < number {
		return time.Time{}, false
	}
	return f.crashes[number-1], true
}

// arrivalsAfter returns the number of crashing requests that reached an endpoint later
// than the given time.
func (f *crashingFleet) arrivalsAfter(at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	res := 0
	for _, a := range f.arrivals {
		if a.After(at) {
			res++
		}
	}
	return res
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
// attempt.
type soundCount struct{ sent, served int }

// sendPrompts sends sound prompts and, each badInterval, one with a part of bad, from
// callers of all members, until the context ends. It returns the counts of the sound
// prompts that were sent at the time begin or later, if it has come.
func sendPrompts(ctx context.Context, t *testing.T, members []*fleetMember, f *crashingFleet, path string, badInterval time.Duration, bad func(i int) string, begin func() (time.Time, bool)) soundCount {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var res soundCount
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
		if from, come := begin(); come && !sent.Before(from) {
			res.sent++
			if got.err == nil && got.status == http.StatusOK {
				res.served++
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
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	return res
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	openHead    = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n"
)

// Guards against endpoints that crash one after the other under requests of which no two
// are alike but that share one part of their prompts, and against refusing sound
// requests that share their caller and their other parts.
func TestPartOfPromptThatCrashesEndpoints(t *testing.T) {
	for _, c := range []struct {
		name, path, partial string
		// prompt is the prompt of a crashing request; the first %d is one of a few
		// parts of sound ones, the second differs in all.
		prompt string
	}{
		{"in the middle, before the head", "/stream/x", "", "aa:60,bad:400,c%d:200,d%d:9"},
		{"next to last, in chunks", "/stream/x", chunkedHead, "aa:60,b%d:400,bad:200,d%d:9"},
		{"first, without length", "/stream/x", openHead, "bad:60,b%d:400,d%d:9"},
		{"inside an event, without length, resumed", "/resume/x", openHead + "id: 1\nda", "aa:60,b%d:400,bad:200,d%d:9"},
		{"only shared part, plain answer", "/read/x", "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 6\r\n\r\nan", "bad:%d,d%d:9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			members := startFleet(t, 4)
			f := newCrashingFleet(t, members[0].fakeDirectory, 14, c.partial, "bad")
			ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
			defer cancel()
			// From twice propagationTime after the fifth crash on, or after the last if
			// there are fewer, sound requests are served.
			soundFrom := func() (time.Time, bool) {
				at, come := f.crashTime(5)
				if !come {
					at, come = f.crashTime(1)
				}
				return at.Add(2 * propagationTime), come
			}
			bad := func(i int) string { return fmt.Sprintf(c.prompt, i%3, 1000000+i) }
			sound := sendPrompts(ctx, t, members, f, c.path, 250*time.Millisecond, bad, soundFrom)
			late := 0
			if fifth, crashed := f.crashTime(5); crashed {
				late = f.arrivalsAfter(fifth.Add(propagationTime))
			}
			t.Logf("%d endpoints crashed, %d of %d crashing requests came late, %d of %d sound requests were served",
				len(f.crashes), late, len(f.arrivals), sound.served, sound.sent)
			require.NotEmpty(t, f.crashes)
			require.LessOrEqual(t, late, 3, "requests with the part that reached an endpoint too late")
			require.Greater(t, sound.sent, 50)
			require.GreaterOrEqual(t, sound.served*100, sound.sent*95, "sound requests served of %d", sound.sent)
		})
	}
}
