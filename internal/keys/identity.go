package keys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
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

// Of reads the identity from a certificate.
func Of(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		if i, ok := parseURI(u); ok {
			found = append(found, i)
		}
	}
	if len(found) != 1 {
		return Identity{}, fmt.Errorf("certificate %q names %d identities: %w", c.Subject.CommonName, len(found), ErrIdentity)
	}
	return found[0], nil
}

func parseURI(u *url.URL) (Identity, bool) {
	parts := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
	i := Identity{Role: Role(u.Host)}
	if u.Scheme != scheme || len(parts) != 2 || !slices.Contains(roles, i.Role) || parts[1] == "" {
		return Identity{}, false
	}
	i.Zone, i.Name = parts[0], parts[1]
	return i, true
}

// Named returns an identity, if its parts can stand in a certificate.
func Named(role, zone, name string) (Identity, error) {
	i, ok := parseURI(&url.URL{Scheme: scheme, Host: role, Path: "/" + zone + "/" + name})
	if !ok || zone == "" {
		return Identity{}, fmt.Errorf("%s/%s/%s, roles are %v: %w", role, zone, name, roles, ErrIdentity)
	}
	return i, nil
}

// Peer returns the identity of a connection's other side.
func Peer(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, fmt.Errorf("no certificate: %w", ErrIdentity)
	}
	return Of(s.PeerCertificates[0])
}
