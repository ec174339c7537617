// Package identity is who may speak to whom: mutual TLS from files that may change while streams go on, identity, zone and
// role from the certificate, and a small authority for rehearsals. What is wrong with a peer's certificate is told to
// operators; the peer sees only that it was not let in.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Role is what a certificate lets its holder be.
type Role string

// The roles.
const (
	Proxy    Role = "proxy"
	Pilot    Role = "pilot"
	Operator Role = "operator"
	Source   Role = "source" // of the endpoint list
)

var roles = []Role{Proxy, Pilot, Operator, Source}

// scheme is that of the URI in a certificate that names its holder: indigousher://ROLE/ZONE/NAME.
const scheme = "indigousher"

// Identity is who a certificate says its holder is.
type Identity struct {
	Role       Role
	Zone, Name string
}

// String is the identity as it stands in the certificate.
func (i Identity) String() string {
	return fmt.Sprintf("%s://%s/%s/%s", scheme, i.Role, i.Zone, i.Name)
}

// ErrIdentity says that a certificate names nobody, or somebody that may not be here.
var ErrIdentity = errors.New("not an identity that is let in")

// FromCertificate reads the identity from a certificate.
func FromCertificate(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		if i, ok := parse(u); ok {
			found = append(found, i)
		}
	}
	if len(found) != 1 {
		return Identity{}, fmt.Errorf("certificate %q names %d identities: %w", c.Subject.CommonName, len(found), ErrIdentity)
	}
	return found[0], nil
}

func parse(u *url.URL) (Identity, bool) {
	parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
	i := Identity{Role: Role(u.Host)}
	if u.Scheme != scheme || len(parts) != 2 || !slices.Contains(roles, i.Role) || parts[1] == "" {
		return Identity{}, false
	}
	i.Zone, i.Name = parts[0], parts[1]
	return i, true
}

// New returns an identity, if its parts can stand in a certificate.
func New(role, zone, name string) (Identity, error) {
	i, ok := parse(&url.URL{Scheme: scheme, Host: role, Path: "/" + zone + "/" + name})
	if !ok || zone == "" {
		return Identity{}, fmt.Errorf("%s/%s/%s, roles are %v: %w", role, zone, name, roles, ErrIdentity)
	}
	return i, nil
}

// Files are where a ring's keys lie.
type Files struct{ Authority, Certificate, Key string }

func (f Files) list() []string { return []string{f.Authority, f.Certificate, f.Key} }

// KeyStore holds one's own certificate and the authority that others are checked against. Files that change are read anew
// at the next handshake; wrong ones leave the old in force.
type KeyStore struct {
	files   Files
	refused func(peer net.Addr, err error) // tells operators
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	seen    look
}

// lookEvery is how often files are looked at.
const lookEvery = 200 * time.Millisecond

// Load reads a ring. Refused is called, if not nil, for each peer that is turned away.
func Load(f Files, refused func(net.Addr, error)) (*KeyStore, error) {
	r := &KeyStore{files: f, refused: refused}
	if err := r.read(); err != nil {
		return nil, err
	}
	return r, nil
}

// look notices files that have changed since they were read.
type look struct {
	stamp  time.Time // of the newest of them when they were read
	looked time.Time
	wrong  error // with what they are now
}

// anew reads files again, if they have changed and were not looked at just now.
func (l *look) anew(read func() error, files ...string) {
	if time.Since(l.looked) <= lookEvery {
		return
	}
	l.looked = time.Now()
	if stamp, err := newest(files...); err != nil {
		l.wrong = err
	} else if !stamp.Equal(l.stamp) {
		l.wrong = read()
	}
}

// newest returns when the last of some files was changed.
func newest(files ...string) (t time.Time, err error) {
	for _, f := range files {
		s, err := os.Stat(f)
		if err != nil {
			return t, fmt.Errorf("keys: %w", err)
		}
		if s.ModTime().After(t) {
			t = s.ModTime()
		}
	}
	return t, nil
}

func (r *KeyStore) read() error {
	stamp, err := newest(r.files.list()...)
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return fmt.Errorf("keys: %s: %w", r.files.Certificate, err)
	}
	if cert.Leaf == nil {
		if cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0]); err != nil {
			return fmt.Errorf("keys: %s: %w", r.files.Certificate, err)
		}
	}
	if _, err := FromCertificate(cert.Leaf); err != nil {
		return fmt.Errorf("keys: %s: %w", r.files.Certificate, err)
	}
	pem, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("keys: %s holds no certificate", r.files.Authority)
	}
	r.cert, r.pool, r.seen.stamp = &cert, pool, stamp
	return nil
}

// now returns the keys in force, after a look at the files.
func (r *KeyStore) now() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen.anew(r.read, r.files.list()...)
	return r.cert, r.pool
}

// Err returns what is wrong with files that have changed since they were read, if anything.
func (r *KeyStore) Err() error {
	r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.wrong
}

// Expires returns when one's own certificate ends.
func (r *KeyStore) Expires() time.Time {
	cert, _ := r.now()
	return cert.Leaf.NotAfter
}

// Identity returns who the ring's own certificate says one is.
func (r *KeyStore) Identity() Identity {
	cert, _ := r.now()
	i, _ := FromCertificate(cert.Leaf) // checked when it was read
	return i
}

// Server is for listeners that let some roles in.
func (r *KeyStore) Server(let ...Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.now()
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
				Certificates: []tls.Certificate{*cert}, ClientAuth: tls.RequireAnyClientCert,
				VerifyConnection: func(s tls.ConnectionState) error {
					err := check(s, pool, x509.ExtKeyUsageClientAuth, let)
					if err != nil && r.refused != nil {
						r.refused(h.Conn.RemoteAddr(), err)
					}
					return err
				}}, nil
		}}
}

// Client is for those who dial one that has a role. Names of hosts don't count, identities do.
func (r *KeyStore) Client(want ...Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		InsecureSkipVerify: true, // by host name; VerifyConnection checks the chain and the identity
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.now()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := r.now()
			return check(s, pool, x509.ExtKeyUsageServerAuth, want)
		}}
}

// check verifies a peer's chain and role.
func check(s tls.ConnectionState, pool *x509.CertPool, use x509.ExtKeyUsage, let []Role) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("no certificate: %w", ErrIdentity)
	}
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	leaf := s.PeerCertificates[0]
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{use}}); err != nil {
		return fmt.Errorf("certificate %q: %w", leaf.Subject.CommonName, err)
	}
	i, err := FromCertificate(leaf)
	if err != nil {
		return err
	}
	if !slices.Contains(let, i.Role) {
		return fmt.Errorf("%s among %v: %w", i, let, ErrIdentity)
	}
	return nil
}

// FromConnection returns the identity of a connection's other side.
func FromConnection(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, fmt.Errorf("no certificate: %w", ErrIdentity)
	}
	return FromCertificate(s.PeerCertificates[0])
}
