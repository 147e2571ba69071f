package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"

	"damasktrail.dev/certificate"
)

const (
	authorityName     = "damasktrail development"
	authorityValidity = 10 * 365 * 24 * time.Hour

	authorityFile = "ca"
	certSuffix    = ".pem"
	keySuffix     = ".key"
)

// keys implements the keys command, which creates a development certificate
// authority and certificates issued by it.
type keys struct {
	Out  string        `long:"out" required:"yes" description:"directory of the files; made when absent"`
	Role string        `long:"role" choice:"entry" choice:"agent" choice:"operator" description:"role of the process; only the authority is made without it"`
	Name string        `long:"name" description:"name of the VM or operator, and of the files"`
	IPs  []string      `long:"ip" description:"IP number at which the process answers; may be repeated"`
	Life time.Duration `long:"life" default:"720h" description:"time for which the certificate is valid"`
	out  io.Writer
}

// Execute implements flags.Commander. Existing files are never overwritten.
func (k *keys) Execute(rest []string) error {
	ips, err := k.check(rest)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(k.Out, 0o750); err != nil {
		return err
	}
	authority, err := k.loadOrCreateAuthority()
	if err != nil || k.Role == "" {
		return err
	}
	pair, err := authority.Issue(certificate.Role(k.Role), k.Name, ips, k.Life)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	return k.write(k.Name, pair)
}

// check validates the arguments and returns the IP addresses.
func (k *keys) check(rest []string) ([]net.IP, error) {
	if err := noArgs(rest); err != nil {
		return nil, err
	}
	if (k.Role == "") != (k.Name == "") {
		return nil, &usageError{message: "--role and --name are given together or not at all"}
	}
	if k.Name == authorityFile {
		return nil, &usageError{message: fmt.Sprintf("name %q is that of the authority's files", k.Name)}
	}
	if k.Life <= 0 {
		return nil, &usageError{message: fmt.Sprintf("--life %s is not above zero", k.Life)}
	}
	res := make([]net.IP, len(k.IPs))
	for i, text := range k.IPs {
		if res[i] = net.ParseIP(text); res[i] == nil {
			return nil, &usageError{message: fmt.Sprintf("--ip %q is not an IP number", text)}
		}
	}
	return res, nil
}

// loadOrCreateAuthority reads the authority in the directory, or creates it when
// neither of its files exists.
func (k *keys) loadOrCreateAuthority() (*certificate.Authority, error) {
	path := filepath.Join(k.Out, authorityFile)
	cert, certErr := os.ReadFile(path + certSuffix) // #nosec G304 -- the operator names the directory
	key, keyErr := os.ReadFile(path + keySuffix)    // #nosec G304 -- as above
	switch {
	case certErr == nil && keyErr == nil:
		return certificate.NewAuthorityFrom(certificate.Pair{Certificate: cert, Key: key})
	case !errors.Is(certErr, fs.ErrNotExist):
		// The certificate exists or is unreadable. A new authority would invalidate
		// all certificates that the old one has issued.
		return nil, errors.Join(certErr, keyErr)
	case !errors.Is(keyErr, fs.ErrNotExist):
		return nil, errors.Join(certErr, keyErr)
	}
	res, err := certificate.NewAuthority(authorityName, authorityValidity)
	if err != nil {
		return nil, err
	}
	return res, k.write(authorityFile, res.Pair())
}

// write creates the two files of a pair. It writes the key first: a key without
// its certificate is unusable, whereas a certificate without its key looks complete.
func (k *keys) write(name string, p certificate.Pair) error {
	path := filepath.Join(k.Out, name)
	// Check for an old certificate before the key is written, so that no new key is
	// created beside it. O_EXCL below checks for an old key.
	if _, err := os.Lstat(path + certSuffix); err == nil {
		return &fs.PathError{Op: "create", Path: path + certSuffix, Err: fs.ErrExist}
	}
	for _, part := range []struct {
		file string
		data []byte
		mode fs.FileMode
	}{{path + keySuffix, p.Key, 0o600}, {path + certSuffix, p.Certificate, 0o644}} {
		f, err := os.OpenFile(part.file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, part.mode) // #nosec G304 G302 -- certificates are public
		if err != nil {
			return err
		}
		_, err = f.Write(part.data)
		if err := errors.Join(err, f.Close()); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(k.out, part.file)
	}
	return nil
}
