package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/certificate"
	"damasktrail.dev/certificate/certificatetest"
	"damasktrail.dev/link"
	"damasktrail.dev/member"
	"damasktrail.dev/set"
	"damasktrail.dev/ticket"
)

// dialTestAgents returns n connections to a listener that only accepts them.
func dialTestAgents(t *testing.T, n int) []*link.Conn {
	t.Helper()
	issuer := certificatetest.New(t)
	l, err := link.Listen("127.0.0.1:0", issuer.Credentials(certificate.RoleAgent, "a").ServerConfig(set.Of(certificate.RoleEntry)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			if _, err := l.Accept(context.Background()); err != nil {
				return
			}
		}
	}()
	d := link.NewDialer("127.0.0.1", issuer.Credentials(certificate.RoleEntry, "e").ClientConfig(certificate.RoleAgent))
	t.Cleanup(d.Close)
	var res []*link.Conn
	for range n {
		c, err := d.Dial(t.Context(), l.Address(), false)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close("done") })
		res = append(res, c)
	}
	return res
}

// Guards against giving up a request with a ticket, of which no byte was sent, because the
// link to its agent broke just before and is about to be replaced.
func TestTicketWaitsForNewLink(t *testing.T) {
	e := newUnlinkedEntry(t)
	conns := dialTestAgents(t, 2)
	newSession := func(c *link.Conn, incarnation string) *session {
		s := &session{conn: c, incarnation: incarnation}
		s.lastReceived.Store(time.Now().UnixNano())
		return s
	}
	r := &remoteAgent{vm: member.VM{Name: "a"}}
	r.session.Store(newSession(conns[0], "first"))
	e.snapshot.Store(&snapshot{document: parse(t, 1, "1s"), agents: map[string]*remoteAgent{"a": r}})
	conns[0].Close("broken")
	time.AfterFunc(200*time.Millisecond, func() { r.session.Store(newSession(conns[1], "second")) })
	text, err := ticket.NewIssuer("a", "first", []byte("secret"), time.Now()).Issue("o", "m", time.Minute, time.Now())
	require.NoError(t, err)
	refusal := e.runTicket(t.Context(), &call{ticket: text}, newOutput(httptest.NewRecorder(), false, nil))
	require.NotNil(t, refusal)
	require.Equal(t, damasktrail.ReasonIncarnation, refusal.Reason)
}
