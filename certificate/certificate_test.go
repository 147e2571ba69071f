package certificate_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/certificate"
	"damasktrail.dev/frame"
	"damasktrail.dev/set"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func newAuthority(t *testing.T) *certificate.Authority {
	res, err := certificate.NewAuthority("test", time.Hour)
	require.NoError(t, err)
	return res
}

func issue(t *testing.T, a *certificate.Authority, role certificate.Role, lifetime time.Duration) tls.Certificate {
	pair, err := a.Issue(role, string(role)+"-1", loopback, lifetime)
	require.NoError(t, err)
	res, err := pair.TLS()
	require.NoError(t, err)
	return res
}

func newCredentials(t *testing.T, a *certificate.Authority, own tls.Certificate) *certificate.Credentials {
	res, err := certificate.New(a.Pool(), own)
	require.NoError(t, err)
	return res
}

// handshake connects a server and a client and returns the connection state and
// error of each. The client reads after its handshake, since in TLS 1.3 it
// completes the handshake before the server has verified its certificate.
func handshake(t *testing.T, server, client *tls.Config) (serverState, clientState tls.ConnectionState, serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			serverErr = err
			return
		}
		c := tls.Server(conn, server)
		defer c.Close()
		if serverErr = c.Handshake(); serverErr == nil {
			serverState = c.ConnectionState()
			_, serverErr = c.Write([]byte("x"))
		}
	}()
	c, clientErr := tls.Dial("tcp", listener.Addr().String(), client)
	if clientErr == nil {
		clientState = c.ConnectionState()
		_, clientErr = c.Read(make([]byte, 1))
		c.Close()
	}
	<-done
	return serverState, clientState, serverErr, clientErr
}

// Guards against a server or client that accepts a peer without a valid
// certificate of an allowed role.
func TestHandshake(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	hour := time.Hour
	entry := issue(t, ca, certificate.RoleEntry, hour)
	agent := issue(t, ca, certificate.RoleAgent, hour)
	server := newCredentials(t, ca, agent).ServerConfig(set.Of(certificate.RoleEntry, certificate.RoleOperator))
	client := newCredentials(t, ca, entry).ClientConfig(certificate.RoleAgent)

	s, c, serverErr, clientErr := handshake(t, server, client)
	require.NoError(t, serverErr)
	require.NoError(t, clientErr)
	require.Equal(t, uint16(tls.VersionTLS13), s.Version)
	require.Equal(t, frame.Protocol, s.NegotiatedProtocol)
	peer, err := certificate.PeerIdentity(s)
	require.NoError(t, err)
	require.Equal(t, certificate.Identity{Role: certificate.RoleEntry, Name: "entry-1"}, peer)
	peer, err = certificate.PeerIdentity(c)
	require.NoError(t, err)
	require.Equal(t, "damasktrail:agent:agent-1", peer.String())
	_, err = certificate.PeerIdentity(tls.ConnectionState{})
	require.ErrorIs(t, err, certificate.ErrNoCertificate)

	otherIPPair, err := ca.Issue(certificate.RoleAgent, "agent-2", []net.IP{net.IPv4(127, 0, 0, 2)}, hour)
	require.NoError(t, err)
	otherIPCertificate, err := otherIPPair.TLS()
	require.NoError(t, err)
	modified := func(c *tls.Config, f func(c *tls.Config)) *tls.Config {
		res := c.Clone()
		res.Certificates = slices.Clone(c.Certificates) // Clone copies only the slice header.
		f(res)
		return res
	}
	for name, c := range map[string]struct {
		server, client     *tls.Config
		atServer, atClient string
	}{
		"client of another authority": {
			server: server, atServer: "unknown authority",
			client: modified(client, func(c *tls.Config) { c.Certificates[0] = issue(t, otherCA, certificate.RoleEntry, hour) }),
		},
		"expired client": {
			server: server, atServer: "expired",
			client: modified(client, func(c *tls.Config) { c.Certificates[0] = issue(t, ca, certificate.RoleEntry, -time.Minute) }),
		},
		"client of another role": {
			server: server, atServer: `peer "agent-1" has role "agent"`,
			client: newCredentials(t, ca, agent).ClientConfig(certificate.RoleAgent),
		},
		"client without certificate": {
			server: server, atServer: "didn't provide a certificate",
			client: modified(client, func(c *tls.Config) { c.Certificates = nil }),
		},
		"client of TLS 1.2": {
			server: server, atServer: "unsupported versions",
			client: modified(client, func(c *tls.Config) { c.MinVersion, c.MaxVersion = tls.VersionTLS12, tls.VersionTLS12 }),
		},
		"client of another protocol": {
			server: server, atServer: "unsupported application protocols",
			client: modified(client, func(c *tls.Config) { c.NextProtos = []string{"damasktrail/0"} }),
		},
		"server of another authority": {
			client: client, atClient: "unknown authority",
			server: modified(server, func(c *tls.Config) { c.Certificates[0] = issue(t, otherCA, certificate.RoleAgent, hour) }),
		},
		"expired server": {
			client: client, atClient: "expired",
			server: modified(server, func(c *tls.Config) { c.Certificates[0] = issue(t, ca, certificate.RoleAgent, -time.Minute) }),
		},
		"server of another role": {
			client: client, atClient: `peer "entry-1" has role "entry"`,
			server: modified(server, func(c *tls.Config) { c.Certificates[0] = entry }),
		},
		"server of another IP number": {
			client: client, atClient: "not 127.0.0.1",
			server: modified(server, func(c *tls.Config) { c.Certificates[0] = otherIPCertificate }),
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, serverErr, clientErr := handshake(t, c.server, c.client)
			if c.atServer != "" {
				require.ErrorContains(t, serverErr, c.atServer)
			}
			if c.atClient != "" {
				require.ErrorContains(t, clientErr, c.atClient)
			}
			require.Error(t, clientErr)
		})
	}
}

// Guards against certificates without a valid identity.
func TestIdentity(t *testing.T) {
	a := newAuthority(t)
	for name, c := range map[string]struct {
		role       certificate.Role
		name, want string
	}{
		"unknown role":   {"king", "x", `role "king" does not exist`},
		"no name":        {certificate.RoleEntry, "", "name may have letters"},
		"name of two":    {certificate.RoleEntry, "a:b", "name may have letters"},
		"name as a path": {certificate.RoleEntry, "../a", "name may have letters"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := a.Issue(c.role, c.name, nil, time.Hour)
			require.ErrorContains(t, err, c.want)
		})
	}
	own, err := a.Pair().TLS()
	require.NoError(t, err)
	_, err = certificate.New(a.Pool(), own)
	var identity *certificate.IdentityError
	require.ErrorAs(t, err, &identity, "the certificate of an authority has no identity")
	_, err = certificate.New(a.Pool(), tls.Certificate{})
	require.ErrorIs(t, err, certificate.ErrNoCertificate)

	entry, err := a.Issue(certificate.RoleEntry, "e", nil, time.Hour)
	require.NoError(t, err)
	_, err = certificate.NewAuthorityFrom(entry)
	require.ErrorContains(t, err, "not that of an authority")
	reloaded, err := certificate.NewAuthorityFrom(a.Pair())
	require.NoError(t, err)
	leaf := issue(t, reloaded, certificate.RoleEntry, time.Hour).Leaf
	_, err = leaf.Verify(x509.VerifyOptions{Roots: a.Pool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	require.NoError(t, err)
}

// Guards against credentials that are accepted although one of the files is
// missing or invalid.
func TestLoad(t *testing.T) {
	a := newAuthority(t)
	pair, err := a.Issue(certificate.RoleOperator, "anna", nil, time.Hour)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	ca, cert, key := write("ca.pem", a.Pair().Certificate), write("anna.pem", pair.Certificate), write("anna.key", pair.Key)
	f, err := certificate.Load(ca, cert, key)
	require.NoError(t, err)
	require.Equal(t, certificate.Identity{Role: certificate.RoleOperator, Name: "anna"}, f.Identity())
	_, err = certificate.Load(key, cert, key)
	require.ErrorContains(t, err, "has no certificate")
	_, err = certificate.Load(ca, ca, key)
	require.Error(t, err)
	_, err = certificate.Load(ca, cert, filepath.Join(dir, "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
