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

func authority(t *testing.T) *certificate.Authority {
	res, err := certificate.NewAuthority("test", time.Hour)
	require.NoError(t, err)
	return res
}

func issue(t *testing.T, a *certificate.Authority, role certificate.Role, life time.Duration) tls.Certificate {
	p, err := a.Issue(role, string(role)+"-1", loopback, life)
	require.NoError(t, err)
	res, err := p.TLS()
	require.NoError(t, err)
	return res
}

func files(t *testing.T, a *certificate.Authority, own tls.Certificate) *certificate.Files {
	res, err := certificate.New(a.Pool(), own)
	require.NoError(t, err)
	return res
}

// handshake connects the two sides and returns what each of them saw. The
// client reads after its handshake, since in TLS 1.3 the server refuses later.
func handshake(t *testing.T, server, client *tls.Config) (serverSaw, clientSaw tls.ConnectionState, serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		raw, err := listener.Accept()
		if err != nil {
			serverErr = err
			return
		}
		c := tls.Server(raw, server)
		defer c.Close()
		if serverErr = c.Handshake(); serverErr == nil {
			serverSaw = c.ConnectionState()
			_, serverErr = c.Write([]byte("x"))
		}
	}()
	c, clientErr := tls.Dial("tcp", listener.Addr().String(), client)
	if clientErr == nil {
		clientSaw = c.ConnectionState()
		_, clientErr = c.Read(make([]byte, 1))
		c.Close()
	}
	<-done
	return serverSaw, clientSaw, serverErr, clientErr
}

// Guards against a peer that is let in without the right certificate, on
// either side.
func TestHandshake(t *testing.T) {
	ours, theirs := authority(t), authority(t)
	hour := time.Hour
	entry := issue(t, ours, certificate.RoleEntry, hour)
	agent := issue(t, ours, certificate.RoleAgent, hour)
	server := files(t, ours, agent).ServerConfig(set.Of(certificate.RoleEntry, certificate.RoleOperator))
	client := files(t, ours, entry).ClientConfig(certificate.RoleAgent)

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

	elsewhere, err := ours.Issue(certificate.RoleAgent, "agent-2", []net.IP{net.IPv4(127, 0, 0, 2)}, hour)
	require.NoError(t, err)
	away, err := elsewhere.TLS()
	require.NoError(t, err)
	change := func(c *tls.Config, f func(c *tls.Config)) *tls.Config {
		res := c.Clone()
		res.Certificates = slices.Clone(c.Certificates) // Clone shares the list
		f(res)
		return res
	}
	for name, c := range map[string]struct {
		server, client     *tls.Config
		atServer, atClient string
	}{
		"client of another authority": {
			server: server, atServer: "unknown authority",
			client: change(client, func(c *tls.Config) { c.Certificates[0] = issue(t, theirs, certificate.RoleEntry, hour) }),
		},
		"expired client": {
			server: server, atServer: "expired",
			client: change(client, func(c *tls.Config) { c.Certificates[0] = issue(t, ours, certificate.RoleEntry, -time.Minute) }),
		},
		"client of another role": {
			server: server, atServer: `peer "agent-1" has role "agent"`,
			client: files(t, ours, agent).ClientConfig(certificate.RoleAgent),
		},
		"client without certificate": {
			server: server, atServer: "didn't provide a certificate",
			client: change(client, func(c *tls.Config) { c.Certificates = nil }),
		},
		"client of TLS 1.2": {
			server: server, atServer: "unsupported versions",
			client: change(client, func(c *tls.Config) { c.MinVersion, c.MaxVersion = tls.VersionTLS12, tls.VersionTLS12 }),
		},
		"client of another protocol": {
			server: server, atServer: "unsupported application protocols",
			client: change(client, func(c *tls.Config) { c.NextProtos = []string{"damasktrail/0"} }),
		},
		"server of another authority": {
			client: client, atClient: "unknown authority",
			server: change(server, func(c *tls.Config) { c.Certificates[0] = issue(t, theirs, certificate.RoleAgent, hour) }),
		},
		"expired server": {
			client: client, atClient: "expired",
			server: change(server, func(c *tls.Config) { c.Certificates[0] = issue(t, ours, certificate.RoleAgent, -time.Minute) }),
		},
		"server of another role": {
			client: client, atClient: `peer "entry-1" has role "entry"`,
			server: change(server, func(c *tls.Config) { c.Certificates[0] = entry }),
		},
		"server of another IP number": {
			client: client, atClient: "not 127.0.0.1",
			server: change(server, func(c *tls.Config) { c.Certificates[0] = away }),
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

// Guards against certificates without a usable identity.
func TestIdentity(t *testing.T) {
	a := authority(t)
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
	require.ErrorAs(t, err, &identity, "an authority is no process")
	_, err = certificate.New(a.Pool(), tls.Certificate{})
	require.ErrorIs(t, err, certificate.ErrNoCertificate)

	entry, err := a.Issue(certificate.RoleEntry, "e", nil, time.Hour)
	require.NoError(t, err)
	_, err = certificate.NewAuthorityFrom(entry)
	require.ErrorContains(t, err, "not that of an authority")
	again, err := certificate.NewAuthorityFrom(a.Pair())
	require.NoError(t, err)
	leaf := issue(t, again, certificate.RoleEntry, time.Hour).Leaf
	_, err = leaf.Verify(x509.VerifyOptions{Roots: a.Pool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	require.NoError(t, err)
}

// Guards against files that load in part.
func TestLoad(t *testing.T) {
	a := authority(t)
	p, err := a.Issue(certificate.RoleOperator, "anna", nil, time.Hour)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	ca, cert, key := write("ca.pem", a.Pair().Certificate), write("anna.pem", p.Certificate), write("anna.key", p.Key)
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
