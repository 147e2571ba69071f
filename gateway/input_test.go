package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
