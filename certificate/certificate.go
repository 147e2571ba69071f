// Package certificate makes and checks the certificates by which the system's
// processes know each other. The URI in a certificate says role and name, the
// IP numbers say where the process may answer. Start from [NewAuthority] and
// [Load].
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"damasktrail.dev/frame"
	"damasktrail.dev/set"
)

// Role is what a process may do.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

// Valid reports whether r is one of the roles.
func (r Role) Valid() bool {
	return r == RoleEntry || r == RoleAgent || r == RoleOperator
}

const (
	uriScheme = "damasktrail"
	// skew is how far certificates are dated back, since the clocks of VMs differ.
	skew = 5 * time.Minute

	typeCertificate = "CERTIFICATE"
	typeKey         = "PRIVATE KEY"
)

// Identity is what a certificate says about its holder.
type Identity struct {
	Role Role
	// Name is that of the VM, or of the operator.
	Name string
}

// String returns the URI of the identity.
func (i Identity) String() string {
	return uriScheme + ":" + string(i.Role) + ":" + i.Name
}

// IdentityError says that a certificate has no single valid identity.
type IdentityError struct {
	// Subject is the common name of the certificate.
	Subject string
	// URIs are those found.
	URIs []string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("certificate of %q has no single URI damasktrail:ROLE:NAME, found %q", e.Subject, e.URIs)
}

// RoleError says that a peer has a role that is not allowed here.
type RoleError struct {
	// Peer is the identity that was shown.
	Peer Identity
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("peer %q has role %q, which is not allowed here", e.Peer.Name, e.Peer.Role)
}

// ErrNoCertificate says that a peer showed no certificate.
var ErrNoCertificate = errors.New("peer showed no certificate")

// Pair is a certificate and its key, both in PEM.
type Pair struct {
	Certificate, Key []byte
}

// TLS returns the pair in the form that package tls uses.
func (p Pair) TLS() (tls.Certificate, error) {
	return tls.X509KeyPair(p.Certificate, p.Key)
}

// Authority signs certificates for development and tests. It is immutable and
// safe for use by several goroutines.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pair        Pair
}

// NewAuthority makes an authority with a new key that is valid for life from
// now.
func NewAuthority(name string, life time.Duration) (res *Authority, err error) {
	defer annotate(&err, "make authority %q", name)
	template, err := newTemplate(name, life)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return NewAuthorityFrom(pair)
}

// NewAuthorityFrom returns the authority with the given certificate and key.
func NewAuthorityFrom(p Pair) (res *Authority, err error) {
	defer annotate(&err, "read authority")
	pair, err := p.TLS()
	if err != nil {
		return nil, err
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.New("certificate is not that of an authority with an ECDSA key")
	}
	return &Authority{certificate: pair.Leaf, key: key, pair: p}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair {
	return a.pair
}

// Pool returns a new pool that trusts this authority alone.
func (a *Authority) Pool() *x509.CertPool {
	res := x509.NewCertPool()
	res.AddCert(a.certificate)
	return res
}

// Issue makes a certificate with a new key for a process of the role, valid for
// life from now. A process that accepts connections needs its IP numbers in it.
func (a *Authority) Issue(role Role, name string, ips []net.IP, life time.Duration) (res Pair, err error) {
	defer annotate(&err, "issue certificate for %s %q", role, name)
	if !role.Valid() {
		return Pair{}, fmt.Errorf("role %q does not exist", role)
	}
	if !validName(name) {
		return Pair{}, errors.New("name may have letters, digits, '.', '_' and '-' only")
	}
	template, err := newTemplate(name, life)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = ips
	template.URIs = []*url.URL{{Scheme: uriScheme, Opaque: string(role) + ":" + name}}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	return sign(template, a.certificate, key, a.key)
}

func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}

// validName excludes characters that a URI would escape or split.
func validName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-", r)
	})
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-skew),
		NotAfter:     now.Add(life),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, err
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: typeCertificate, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: typeKey, Bytes: encoded}),
	}, nil
}

// Files are a process's own certificate and the authorities it trusts. It is
// immutable and safe for use by several goroutines.
type Files struct {
	pool     *x509.CertPool
	own      tls.Certificate
	identity Identity
}

// New returns the settings for a process with the given certificate. It fails
// with an [*IdentityError] when the certificate has no identity.
func New(pool *x509.CertPool, own tls.Certificate) (*Files, error) {
	leaf := own.Leaf
	if leaf == nil {
		if len(own.Certificate) == 0 {
			return nil, ErrNoCertificate
		}
		var err error
		if leaf, err = x509.ParseCertificate(own.Certificate[0]); err != nil {
			return nil, fmt.Errorf("read own certificate: %w", err)
		}
	}
	identity, err := identify(leaf)
	if err != nil {
		return nil, err
	}
	return &Files{pool: pool, own: own, identity: identity}, nil
}

// Load reads PEM files: the trusted authorities, and the process's certificate
// and key.
func Load(caFile, certFile, keyFile string) (res *Files, err error) {
	defer annotate(&err, "load certificates")
	ca, err := os.ReadFile(caFile) // #nosec G304 -- the path is a setting of the operator
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("%s has no certificate", caFile)
	}
	own, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return New(pool, own)
}

// Identity returns the process's own identity.
func (f *Files) Identity() Identity {
	return f.identity
}

// ServerConfig returns settings that accept peers of the allowed roles only.
// The handshake fails without a certificate of a trusted authority.
func (f *Files) ServerConfig(allowed set.Set[Role]) *tls.Config {
	res := f.config(allowed)
	res.ClientAuth = tls.RequireAndVerifyClientCert
	res.ClientCAs = f.pool
	return res
}

// ClientConfig returns settings for a connection to a peer of the expected
// role. The dialler sets ServerName to the IP number that it dials, which must
// be in the peer's certificate.
func (f *Files) ClientConfig(expected Role) *tls.Config {
	res := f.config(set.Of(expected))
	res.RootCAs = f.pool
	return res
}

func (f *Files) config(allowed set.Set[Role]) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{f.own},
		NextProtos:   []string{frame.Protocol},
		// Each connection shows its certificate anew, so that an expired one is
		// refused; 0-RTT data could be replayed.
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			peer, err := PeerIdentity(s)
			if err != nil {
				return err
			}
			if !allowed.Has(peer.Role) {
				return &RoleError{Peer: peer}
			}
			return nil
		},
	}
}

// PeerIdentity returns the identity of the peer. It trusts the chain to have
// been verified by the handshake. Errors are [ErrNoCertificate] and
// [*IdentityError].
func PeerIdentity(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, ErrNoCertificate
	}
	return identify(s.PeerCertificates[0])
}

func identify(c *x509.Certificate) (Identity, error) {
	uris := make([]string, len(c.URIs))
	for i, u := range c.URIs {
		uris[i] = u.String()
	}
	if len(uris) == 1 {
		parts := strings.Split(uris[0], ":")
		if len(parts) == 3 && parts[0] == uriScheme && Role(parts[1]).Valid() && validName(parts[2]) {
			return Identity{Role: Role(parts[1]), Name: parts[2]}, nil
		}
	}
	return Identity{}, &IdentityError{Subject: c.Subject.CommonName, URIs: uris}
}
