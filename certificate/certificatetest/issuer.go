// Package certificatetest issues credentials to the processes of a test on loopback. Start
// from [New].
package certificatetest

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/certificate"
)

// lifetime is that of all certificates of a test.
const lifetime = time.Hour

// Issuer is the authority of one test.
type Issuer struct {
	t         testing.TB
	authority *certificate.Authority
}

// New returns an issuer with an authority of its own. The test fails on any error.
func New(t testing.TB) *Issuer {
	t.Helper()
	authority, err := certificate.NewAuthority("test", lifetime)
	require.NoError(t, err)
	return &Issuer{t: t, authority: authority}
}

// Credentials returns the credentials of a process on 127.0.0.1.
func (i *Issuer) Credentials(role certificate.Role, name string) *certificate.Credentials {
	i.t.Helper()
	pair, err := i.authority.Issue(role, name, []net.IP{net.IPv4(127, 0, 0, 1)}, lifetime)
	require.NoError(i.t, err)
	own, err := pair.TLS()
	require.NoError(i.t, err)
	res, err := certificate.New(i.authority.Pool(), own)
	require.NoError(i.t, err)
	return res
}
