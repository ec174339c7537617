package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"slices"
)

// Server is for listeners that let some roles in.
func (r *Ring) Server(let ...Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
				Certificates: []tls.Certificate{*cert}, ClientAuth: tls.RequireAnyClientCert,
				VerifyConnection: func(s tls.ConnectionState) error {
					err := verify(s, pool, x509.ExtKeyUsageClientAuth, let)
					if err != nil && r.refused != nil {
						r.refused(h.Conn.RemoteAddr(), err)
					}
					return err
				}}, nil
		}}
}

// Client is for those who dial one that has a role. Names of hosts don't count, identities do.
func (r *Ring) Client(want ...Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		InsecureSkipVerify: true, // by host name; VerifyConnection checks the chain and the identity
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool := r.current()
			return verify(s, pool, x509.ExtKeyUsageServerAuth, want)
		}}
}

// verify checks a peer's chain and role.
func verify(s tls.ConnectionState, pool *x509.CertPool, use x509.ExtKeyUsage, let []Role) error {
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
	i, err := Of(leaf)
	if err != nil {
		return err
	}
	if !slices.Contains(let, i.Role) {
		return fmt.Errorf("%s among %v: %w", i, let, ErrIdentity)
	}
	return nil
}
