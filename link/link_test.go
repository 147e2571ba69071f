package link_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/certificate"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/set"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func newAuthority(t *testing.T) *certificate.Authority {
	t.Helper()
	res, err := certificate.NewAuthority("test", time.Hour)
	require.NoError(t, err)
	return res
}

// newCredentials returns the credentials of a process that trusts the authority
// trusted and whose own certificate is issued by issuer.
func newCredentials(t *testing.T, trusted, issuer *certificate.Authority, role certificate.Role, lifetime time.Duration) *certificate.Credentials {
	t.Helper()
	pair, err := issuer.Issue(role, "vm", loopback, lifetime)
	require.NoError(t, err)
	own, err := pair.TLS()
	require.NoError(t, err)
	res, err := certificate.New(trusted.Pool(), own)
	require.NoError(t, err)
	return res
}

// listen starts an agent's listener that sends each received frame back.
func listen(t *testing.T, a *certificate.Authority) *link.Listener {
	t.Helper()
	l, err := link.Listen("127.0.0.1:0", newCredentials(t, a, a, certificate.RoleAgent, time.Hour).ServerConfig(set.Of(certificate.RoleEntry)))
	require.NoError(t, err)
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	t.Cleanup(func() { _ = l.Close() })
	tasks.Go(func(ctx context.Context) {
		for {
			c, err := l.Accept(ctx)
			if err != nil {
				return
			}
			tasks.Go(func(context.Context) {
				for {
					s, err := c.Accept(c.Context())
					if err != nil {
						return
					}
					tasks.Go(func(context.Context) { echo(s) })
				}
			})
		}
	})
	return l
}

func echo(s *link.Stream) {
	for {
		raw, err := s.Receive()
		if errors.Is(err, io.EOF) {
			_ = s.CloseSend()
			return
		}
		if err != nil {
			s.Cancel()
			return
		}
		m, err := frame.Decode[frame.Chunk](raw, frame.KindChunk)
		if err != nil || s.Send(frame.KindChunk, m) != nil {
			s.Cancel()
			return
		}
	}
}

// roundTrip sends one chunk on a new stream and waits for a frame in return.
func roundTrip(ctx context.Context, c *link.Conn) error {
	s, err := c.Open(ctx)
	if err != nil {
		return err
	}
	if err := s.Send(frame.KindChunk, frame.Chunk{Data: []byte("x")}); err != nil {
		return err
	}
	_, err = s.Receive()
	return err
}

// Guards against connections to unauthorised peers: each must fail before a
// frame is exchanged, and the listener must keep serving valid peers.
func TestPeersRefused(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	l := listen(t, a)
	entry := newCredentials(t, a, a, certificate.RoleEntry, time.Hour)
	withoutKey := entry.ClientConfig(certificate.RoleAgent)
	withoutKey.Certificates = nil
	otherVersion := entry.ClientConfig(certificate.RoleAgent)
	otherVersion.NextProtos = []string{"damasktrail/0"}
	for _, c := range []struct {
		name string
		tls  *tls.Config
	}{
		{"no key", withoutKey},
		{"other authority", newCredentials(t, a, other, certificate.RoleEntry, time.Hour).ClientConfig(certificate.RoleAgent)},
		{"expired", newCredentials(t, a, a, certificate.RoleEntry, time.Nanosecond).ClientConfig(certificate.RoleAgent)},
		{"agent to agent", newCredentials(t, a, a, certificate.RoleAgent, time.Hour).ClientConfig(certificate.RoleAgent)},
		{"operator to agent", newCredentials(t, a, a, certificate.RoleOperator, time.Hour).ClientConfig(certificate.RoleAgent)},
		{"other version", otherVersion},
		{"listener of another role", entry.ClientConfig(certificate.RoleEntry)},
		{"listener not trusted", newCredentials(t, other, a, certificate.RoleEntry, time.Hour).ClientConfig(certificate.RoleAgent)},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			d := link.NewDialer("", c.tls)
			defer d.Close()
			conn, err := d.Dial(ctx, l.Address(), false)
			if err == nil { // A client learns of its refusal only in the first round trip.
				err = roundTrip(ctx, conn)
				conn.Close("done")
			}
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "refused by a timeout only")
		})
	}
	d := link.NewDialer("", entry.ClientConfig(certificate.RoleAgent))
	defer d.Close()
	conn, err := d.Dial(context.Background(), l.Address(), false)
	require.NoError(t, err)
	require.Equal(t, certificate.Identity{Role: certificate.RoleAgent, Name: "vm"}, conn.Peer())
	require.NoError(t, roundTrip(context.Background(), conn))
}

// Guards against a second agent for one endpoint: the kernel must refuse to bind
// the address while the first agent holds it.
func TestListenIsExclusive(t *testing.T) {
	a := newAuthority(t)
	l := listen(t, a)
	_, err := link.Listen(l.Address(), newCredentials(t, a, a, certificate.RoleAgent, time.Hour).ServerConfig(set.Of(certificate.RoleEntry)))
	require.ErrorContains(t, err, "address already in use")
}

// Guards against a dial with newPort that reuses the source port of earlier
// connections, one of which may have gone silent, and against a socket that is
// closed while a connection still uses it.
func TestDialUsesNewPort(t *testing.T) {
	a := newAuthority(t)
	l := listen(t, a)
	d := link.NewDialer("", newCredentials(t, a, a, certificate.RoleEntry, time.Hour).ClientConfig(certificate.RoleAgent))
	defer d.Close()
	ctx := context.Background()
	first, err := d.Dial(ctx, l.Address(), false)
	require.NoError(t, err)
	shared, err := d.Dial(ctx, l.Address(), false)
	require.NoError(t, err)
	fresh, err := d.Dial(ctx, l.Address(), true)
	require.NoError(t, err)
	require.Equal(t, first.LocalAddress(), shared.LocalAddress())
	require.NotEqual(t, first.LocalAddress(), fresh.LocalAddress())
	first.Close("done")
	require.NoError(t, roundTrip(ctx, shared), "a socket is closed only with its last connection")
}

// Guards against a peer that announces a frame above the size limit: the
// receiver must cancel the stream.
func TestFrameOverLimit(t *testing.T) {
	a := newAuthority(t)
	l := listen(t, a)
	credentials := newCredentials(t, a, a, certificate.RoleEntry, time.Hour)
	config := credentials.ClientConfig(certificate.RoleAgent)
	conn, err := quic.DialAddr(context.Background(), l.Address(), config, nil)
	require.NoError(t, err)
	defer conn.CloseWithError(0, "")
	s, err := conn.OpenStream()
	require.NoError(t, err)
	_, err = s.Write([]byte{0xff, 0xff, 0xff, 0xff, byte(frame.KindChunk)})
	require.NoError(t, err)
	_, err = io.ReadAll(s)
	var cancelled *quic.StreamError
	require.ErrorAs(t, err, &cancelled)
}
