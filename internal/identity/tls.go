package identity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"
)

// nextProtos is the protocol that gRPC negotiates by ALPN. The framed protocol ignores it.
var nextProtos = []string{"h2"}

// Server returns the configuration of a listener that accepts peers with one of the allowed roles. Each handshake uses
// the current keys, which are reloaded if their files have changed.
func (k *KeyStore) Server(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: nextProtos,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return k.handshakeConfig(hello, allowed), nil
		},
	}
}

// handshakeConfig returns the configuration of one handshake.
func (k *KeyStore) handshakeConfig(hello *tls.ClientHelloInfo, allowed []Role) *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   nextProtos,
		Certificates: []tls.Certificate{*cert},
		ClientAuth:   tls.RequireAnyClientCert, // VerifyConnection checks the chain and the identity
		VerifyConnection: func(s tls.ConnectionState) error {
			err := verify(s, pool, x509.ExtKeyUsageClientAuth, allowed)
			if err != nil && k.onRejected != nil {
				k.onRejected(hello.Conn.RemoteAddr(), err)
			}
			return err
		},
	}
}

// Client returns the configuration for dialling a peer with one of the allowed roles. The peer's identity is verified,
// not its host name.
func (k *KeyStore) Client(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         nextProtos,
		InsecureSkipVerify: true, // disables the host name check; VerifyConnection checks the chain and identity
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := k.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := k.current()
			return verify(s, pool, x509.ExtKeyUsageServerAuth, allowed)
		},
	}
}

// verify checks a peer's certificate chain for the given key usage, and that the peer has one of the allowed roles.
func verify(s tls.ConnectionState, pool *x509.CertPool, usage x509.ExtKeyUsage, allowed []Role) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("peer has no certificate: %w", ErrIdentity)
	}
	leaf := s.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := leaf.Verify(options); err != nil {
		return fmt.Errorf("verify certificate %q: %w", leaf.Subject.CommonName, err)
	}
	identity, err := FromCertificate(leaf)
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, identity.Role) {
		return fmt.Errorf("role of %s is not among %v: %w", identity, allowed, ErrIdentity)
	}
	return nil
}
