// Package certificate issues and verifies the certificates with which the
// system's processes authenticate each other. The URI in a certificate holds the
// role and name of the process; its IP addresses are those at which the process
// may accept connections. Start from [NewAuthority] and [Load].
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

// Role is the role of a process, which determines the peers that accept it.
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
	// clockSkew is the time by which certificates are backdated, since the clocks of
	// VMs differ.
	clockSkew = 5 * time.Minute

	typeCertificate = "CERTIFICATE"
	typeKey         = "PRIVATE KEY"
)

// Identity is the role and name of the process or operator that holds a
// certificate.
type Identity struct {
	Role Role
	// Name is the name of the VM or of the operator.
	Name string
}

// String returns the URI of the identity.
func (i Identity) String() string {
	return uriScheme + ":" + string(i.Role) + ":" + i.Name
}

// IdentityError reports a certificate without exactly one valid identity.
type IdentityError struct {
	// Subject is the common name of the certificate.
	Subject string
	// URIs are all URIs of the certificate.
	URIs []string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("certificate of %q has no single URI damasktrail:ROLE:NAME, found %q", e.Subject, e.URIs)
}

// RoleError reports a peer whose role is not allowed on the connection.
type RoleError struct {
	// Peer is the identity in the peer's certificate.
	Peer Identity
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("peer %q has role %q, which is not allowed here", e.Peer.Name, e.Peer.Role)
}

// ErrNoCertificate reports that a peer presented no certificate or that a process
// has none of its own.
var ErrNoCertificate = errors.New("peer showed no certificate")

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate, Key []byte
}

// TLS returns the pair as a [tls.Certificate].
func (p Pair) TLS() (tls.Certificate, error) {
	return tls.X509KeyPair(p.Certificate, p.Key)
}

// Authority is a certificate authority for development and tests. It is immutable
// and safe for use by several goroutines.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pair        Pair
}

// NewAuthority returns an authority with a new key and a self-signed certificate
// that expires after lifetime.
func NewAuthority(name string, lifetime time.Duration) (res *Authority, err error) {
	defer annotate(&err, "make authority %q", name)
	template, err := newTemplate(name, lifetime)
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

// Pair returns the certificate and key of the authority itself.
func (a *Authority) Pair() Pair {
	return a.pair
}

// Pool returns a new pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	res := x509.NewCertPool()
	res.AddCert(a.certificate)
	return res
}

// Issue returns a certificate with a new key for a process of the given role. It
// expires after lifetime. The certificate of a process that accepts connections
// must contain the IP addresses of the process.
func (a *Authority) Issue(role Role, name string, ips []net.IP, lifetime time.Duration) (res Pair, err error) {
	defer annotate(&err, "issue certificate for %s %q", role, name)
	if !role.Valid() {
		return Pair{}, fmt.Errorf("role %q does not exist", role)
	}
	if !validName(name) {
		return Pair{}, errors.New("name may have letters, digits, '.', '_' and '-' only")
	}
	template, err := newTemplate(name, lifetime)
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

// validName reports whether name is not empty and has no character that is
// escaped in a URI or separates its parts.
func validName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-", r)
	})
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
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

// Credentials are the certificate and key of a process and the authorities that it trusts.
// They are immutable and safe for use by several goroutines.
type Credentials struct {
	pool     *x509.CertPool
	own      tls.Certificate
	identity Identity
}

// New returns the credentials of a process with the given certificate that trusts
// the authorities in pool. It fails with an [*IdentityError] when the certificate
// has no identity.
func New(pool *x509.CertPool, own tls.Certificate) (*Credentials, error) {
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
	return &Credentials{pool: pool, own: own, identity: identity}, nil
}

// Load returns the credentials in three PEM files: the trusted authorities, the
// certificate of the process and its key.
func Load(caFile, certFile, keyFile string) (res *Credentials, err error) {
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
func (c *Credentials) Identity() Identity {
	return c.identity
}

// ServerConfig returns a TLS configuration that accepts only peers of the allowed
// roles. The handshake fails unless the peer has a certificate of a trusted
// authority.
func (c *Credentials) ServerConfig(allowed set.Set[Role]) *tls.Config {
	res := c.tlsConfig(allowed)
	res.ClientAuth = tls.RequireAndVerifyClientCert
	res.ClientCAs = c.pool
	return res
}

// ClientConfig returns a TLS configuration for a connection to a peer of the
// expected role. The dialler must set ServerName to the IP address that it dials;
// the handshake fails unless the peer's certificate contains that address.
func (c *Credentials) ClientConfig(expected Role) *tls.Config {
	res := c.tlsConfig(set.Of(expected))
	res.RootCAs = c.pool
	return res
}

func (c *Credentials) tlsConfig(allowed set.Set[Role]) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.own},
		NextProtos:   []string{frame.Protocol},
		// Without session resumption each connection presents its certificate again,
		// so that an expired certificate is refused, and no replayable 0-RTT data
		// is sent.
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

// PeerIdentity returns the identity of the peer. It assumes that the handshake
// has verified the certificate chain. Errors are [ErrNoCertificate] and
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
