package identity

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// Role is the role in which the holder of a certificate is authorized to act.
type Role string

// The roles.
const (
	Proxy    Role = "proxy"
	Pilot    Role = "pilot"
	Operator Role = "operator"
	Source   Role = "source" // the source of the endpoint list
)

var roles = []Role{Proxy, Pilot, Operator, Source}

// scheme is the scheme of the URI that identifies the holder in a certificate: indigousher://ROLE/ZONE/NAME.
const scheme = "indigousher"

// ErrIdentity means that a certificate has no valid identity, or one that is not authorized.
var ErrIdentity = errors.New("identity is invalid or not authorized")

// Identity identifies the holder of a certificate.
type Identity struct {
	Role       Role
	Zone, Name string
}

// String returns the URI that represents the identity in a certificate.
func (i Identity) String() string {
	return fmt.Sprintf("%s://%s/%s/%s", scheme, i.Role, i.Zone, i.Name)
}

// uri returns the URI that represents the identity in a certificate.
func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.Role), Path: "/" + i.Zone + "/" + i.Name}
}

// New returns an identity. The error wraps ErrIdentity if the role is unknown or a part can't be written in a
// certificate.
func New(role, zone, name string) (Identity, error) {
	identity, ok := parseURI(Identity{Role: Role(role), Zone: zone, Name: name}.uri())
	if !ok || zone == "" {
		return Identity{}, fmt.Errorf("%s/%s/%s, valid roles are %v: %w", role, zone, name, roles, ErrIdentity)
	}
	return identity, nil
}

// FromCertificate returns the identity in a certificate. The error wraps ErrIdentity if the certificate has none or
// more than one.
func FromCertificate(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		if identity, ok := parseURI(u); ok {
			found = append(found, identity)
		}
	}
	if len(found) != 1 {
		return Identity{}, fmt.Errorf("certificate %q has %d identities: %w", c.Subject.CommonName, len(found), ErrIdentity)
	}
	return found[0], nil
}

// FromConnection returns the identity of a connection's peer. The error wraps ErrIdentity if the peer has no
// certificate or no valid identity.
func FromConnection(s tls.ConnectionState) (Identity, error) {
	if len(s.PeerCertificates) == 0 {
		return Identity{}, fmt.Errorf("peer has no certificate: %w", ErrIdentity)
	}
	return FromCertificate(s.PeerCertificates[0])
}

// parseURI returns the identity that a URI represents, or false if it represents none.
func parseURI(u *url.URL) (Identity, bool) {
	role := Role(u.Host)
	path := strings.Split(strings.TrimPrefix(u.Path, "/"), "/")
	if u.Scheme != scheme || len(path) != 2 || !slices.Contains(roles, role) || path[1] == "" {
		return Identity{}, false
	}
	return Identity{Role: role, Zone: path[0], Name: path[1]}, true
}
