package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/gateway"
	"damasktrail.dev/routing"
)

// sendRaw sends a request as it is written, on a connection of its own, and returns the answer.
func (s *testGateway) sendRaw(request string) *http.Response {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.settings.Callers)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprint(c, request)
	require.NoError(s.t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(s.t, err)
	return res
}

// Guards against a request with a number out of range that is run, charged to a quota, or
// refused only after its body has arrived.
func TestNumberOutOfRange(t *testing.T) {
	p := newFakeEndpoint(t, respondWith("ok"))
	s := start(t, p)
	for i, field := range []string{
		"Token-Usage: 1000000000000000,80", "Token-Usage: 80,1000000000000000", "Token-Usage: 9223372036854775807,9223372036854775807",
		"Token-Usage: -5,1", "Token-Usage: 5,1\r\nToken-Usage: 16777217,1", "Deadline-Ms: 3600001", "Deadline-Ms: -1", "Prefix-Hash: a:16777217,b:1",
	} {
		id := fmt.Sprint("id", i)
		res := s.sendRaw("POST /read/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nX-Api-Key: small\r\n" + field + "\r\nContent-Length: 1000\r\n\r\n")
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode, field)
		require.Zero(t, p.runCount(id), field)
	}
	require.Equal(t, http.StatusOK, s.send("/read/x", "honest", "b", "X-Api-Key", "small", "Token-Usage", "50,50").status, "the quota was charged")
	require.NotEqual(t, http.StatusOK, s.send("/read/x", "more", "b", "X-Api-Key", "small", "Token-Usage", "90,5").status, "the quota was refilled")
}

// Guards against a route that is selected by another path than the one that is forwarded: a
// request for one service was sent to another because its path was decoded first.
func TestRoutePath(t *testing.T) {
	p := newFakeEndpoint(t, respondWith("ok"))
	s := start(t, p)
	route := func(name, prefix, service string) routing.Route {
		return routing.Route{Name: name, Host: "h", Prefix: prefix, Kind: routing.Idempotent, Attempts: 1, Timeout: 3 * time.Second, Objective: time.Second, Anonymous: true, Targets: []routing.Target{{Service: service, Weight: 1}}}
	}
	table, err := routing.New(2, routing.Limits{}, []routing.Route{
		route("outer", "/a/", "s"), route("inner", "/a/b/", "none"), route("encoded", "/a/%62/", "none"), route("lower", "/x/y%2fz/", "none"), route("other", "/c/", "none"),
	}, []routing.Service{{Name: "s"}, {Name: "none"}}, nil)
	require.NoError(t, err)
	s.update(func() { s.table = table })
	require.Eventually(t, func() bool { return s.send("/a/x", "id", "").status == http.StatusOK }, 5*time.Second, 5*time.Millisecond)
	const elsewhere, none = http.StatusServiceUnavailable, http.StatusNotFound
	for i, c := range []struct {
		target, forwarded string
		status            int
	}{
		{"/a/x", "/a/x", http.StatusOK},
		{"/a/b/x", "", elsewhere},
		{"/a/b%2Fx", "/a/b%2Fx", http.StatusOK},
		{"/a/b%2fx", "/a/b%2fx", http.StatusOK},
		{"/a%2Fb/x", "", none},
		{"/%61/x", "", none},
		{"/a/%62/x", "", elsewhere},
		{"/a/%62%2Fx", "/a/%62%2Fx", http.StatusOK},
		{"/x/y%2fz/w", "", elsewhere},
		{"/x/y%2Fz/w", "", none},
		{"/x/y/z/w", "", none},
		{"/a/../c/x", "/a/../c/x", http.StatusOK},
		{"/a/%2e%2e/c/x", "/a/%2e%2e/c/x", http.StatusOK},
		{"/a/./b/x", "/a/./b/x", http.StatusOK},
		{"/c/../a/x", "", elsewhere},
		{"//a/x", "", none},
		{"/a//b/x", "/a//b/x", http.StatusOK},
		{"/a/b//x", "", elsewhere},
		{"/a/b", "/a/b", http.StatusOK},
		{"/a", "", none},
		{"/A/x", "", none},
		{"/a/?/a/b/", "/a/?/a/b/", http.StatusOK},
		{"/a/x?q=%2F#f", "/a/x?q=%2F#f", http.StatusOK},
		{"/a/b;v=1/x", "/a/b;v=1/x", http.StatusOK},
		{"/a/x y", "", http.StatusBadRequest},
		{"/a/%zz", "", http.StatusBadRequest},
		{"http://h/a/b%2Fx?q", "/a/b%2Fx?q", http.StatusOK},
		{"http://h/a/%62/x", "", elsewhere},
		{"http://h/a/../c/x", "/a/../c/x", http.StatusOK},
		{"HTTP://h:80/a/x", "/a/x", http.StatusOK},
		{"http://other/a/x", "", none},
		{"http://h", "", none},
		{"http://h?/a/x", "", none},
		{"*", "", none},
	} {
		id := fmt.Sprint("path", i)
		res := s.sendRaw("POST " + c.target + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n")
		require.Equal(t, c.status, res.StatusCode, c.target)
		if c.forwarded != "" {
			require.Equal(t, c.forwarded, p.lastRequest().RequestURI, c.target)
			require.Equal(t, 1, p.runCount(id), c.target)
		}
	}
}

// Guards against a caller or an endpoint that strips with its Connection field what the gateway
// sets, or what the other side needs.
func TestConnectionField(t *testing.T) {
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "Response-Signature, attempt-id, X-Own")
		w.Header().Set("X-Own", "1")
		fmt.Fprint(w, "ok")
	})
	s := start(t, p)
	res := s.sendRaw("POST /read/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id\r\nX-Api-Key: key\r\nTenant: forged\r\ntenant: forged\r\nToken-Usage: 1,2\r\n" +
		"Connection: Tenant, deadline-ms\r\nCONNECTION: EXPECTED-REPLICA,token-usage, Attempt-Id, Content-Length\r\nContent-Length: 2\r\n\r\nab")
	require.Equal(t, http.StatusOK, res.StatusCode)
	h := p.lastRequest().Header
	for name, value := range map[string]string{"Tenant": "acme", "Expected-Replica": "e0", "Attempt-Id": "id", "Token-Usage": "1,2", "Content-Length": "2"} {
		require.Equal(t, []string{value}, h[name], name)
	}
	require.Len(t, h["Deadline-Ms"], 1)
	require.Equal(t, "sig-id", res.Header.Get("Response-Signature"))
	require.Equal(t, "id", res.Header.Get("Attempt-Id"))
	require.Empty(t, res.Header.Get("X-Own"))
}

// Guards against a gateway that lets everybody in, or restores keys, when the last organisation
// has been withdrawn.
func TestLastOrganisationWithdrawn(t *testing.T) {
	p := newFakeEndpoint(t, respondWith("ok"))
	s := start(t, p)
	require.Equal(t, http.StatusOK, s.send("/read/x", "before", "").status)
	s.setTable(2, []routing.Organisation{})
	require.Eventually(t, func() bool { return s.send("/read/x", "poll", "").status == http.StatusUnauthorized }, 5*time.Second, 5*time.Millisecond)
	for i, key := range []string{"key", "small", "never", ""} {
		id := fmt.Sprint("after", i)
		require.Equal(t, http.StatusUnauthorized, s.send("/read/x", id, "", "X-Api-Key", key).status, "key %q", key)
		require.Zero(t, p.runCount(id))
	}
	require.Equal(t, http.StatusOK, s.send("/open/x", "open", "").status, "an anonymous route needs no key")
}

// Guards against keys that come back after the last organisation has been withdrawn: at another
// gateway, after a restart, and when the directory returns an older table.
func TestWithdrawnKeysStayWithdrawn(t *testing.T) {
	p := newFakeEndpoint(t, respondWith("ok"))
	members := startFleet(t, 3, p)
	number := 0
	refuses := func(m *fleetMember) bool {
		number++
		id := fmt.Sprint("withdrawn-", number)
		return m.send("/read/x", id, "").status == http.StatusUnauthorized && p.runCount(id) == 0
	}
	for _, m := range members {
		require.False(t, refuses(m))
	}
	members[0].setTable(2, []routing.Organisation{})
	for _, m := range members {
		require.Eventually(t, func() bool { return refuses(m) }, 5*time.Second, 5*time.Millisecond)
	}
	members[1].stop()
	members[1].start(100)
	require.Eventually(t, members[1].ready, 5*time.Second, 5*time.Millisecond)
	for _, m := range members {
		require.True(t, refuses(m))
	}
	members[0].setTable(1, organisations())
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, m := range members {
			number++
			id := fmt.Sprint("older-", number)
			status := m.send("/read/x", id, "").status
			require.Contains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, status, "gateway %d", i)
			require.Zero(t, p.runCount(id))
		}
	}
}

// FuzzRoutePath guards against a target that is forwarded with another path than the one that
// selected its route.
func FuzzRoutePath(f *testing.F) {
	for _, target := range []string{"/a/b%2Fx", "http://h/a/%62/x?q", "*", "/a/../b/", "http://h?x", "//h/a/", "h:80", "x://?://a/"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil {
			return
		}
		forwarded, path := gateway.RequestTarget(r)
		require.True(t, strings.HasPrefix(forwarded, path))
		require.True(t, strings.HasSuffix(r.RequestURI, strings.TrimPrefix(forwarded, "/")))
		if r.URL.Scheme == "" && strings.HasPrefix(r.RequestURI, "/") {
			require.Equal(t, r.RequestURI, forwarded)
		}
		require.NotContains(t, path, "?")
	})
}
