package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

const (
	// clockSlack is how long before its creation an authority's certificate becomes valid, to allow for slow clocks.
	clockSlack = time.Minute
	// serialBits is the size of the random serial numbers, in bits.
	serialBits = 120
	// publicMode and secretMode are the permissions of certificate files and of key files.
	publicMode = 0o644
	secretMode = 0o600
)

// Types of PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// Authority is a certificate authority for rehearsals and tests. Deployments use their own authority.
type Authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority whose certificate is valid for the given time from now.
func NewAuthority(name string, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority: %w", err)
	}
	template := newTemplate(name, time.Now().Add(-clockSlack), validity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create certificate of authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{cert, der, key}, nil
}

// newTemplate returns a certificate template with the fields that all certificates have.
func newTemplate(name string, notBefore time.Time, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    notBefore,
		NotAfter:     notBefore.Add(validity),
	}
}

// Issue writes a new certificate, its key and the authority's certificate into a directory and returns their paths.
func (a *Authority) Issue(dir string, id Identity, notBefore time.Time, validity time.Duration) (Files, error) {
	certificate, key, err := a.sign(id, notBefore, validity)
	if err != nil {
		return Files{}, fmt.Errorf("sign certificate of %s: %w", id, err)
	}
	files := Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, id.Name+".pem"),
		Key:         filepath.Join(dir, id.Name+"-key.pem"),
	}
	// The certificate is written last, so that its key can be read as soon as the certificate can.
	for _, part := range []struct {
		path, block string
		der         []byte
		mode        os.FileMode
	}{
		{files.Authority, pemCertificate, a.der, publicMode},
		{files.Key, pemPrivateKey, key, secretMode},
		{files.Certificate, pemCertificate, certificate, publicMode},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: part.block, Bytes: part.der})
		if err := writeFileAtomic(part.path, text, part.mode); err != nil {
			return Files{}, fmt.Errorf("write certificate files of %s: %w", id, err)
		}
	}
	return files, nil
}

// sign returns a new certificate for an identity and its private key, both DER-encoded. The certificate is valid for
// clients and servers on the local host.
func (a *Authority) sign(id Identity, notBefore time.Time, validity time.Duration) (certificate, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := newTemplate(id.Name, notBefore, validity)
	template.URIs = []*url.URL{id.uri()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	certificate, err = x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	key, err = x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	return certificate, key, nil
}
