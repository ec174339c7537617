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

// Authority signs certificates for rehearsals and tests. A deployment has its own.
type Authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// NewAuthority makes one that holds for a while.
func NewAuthority(name string, lasts time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	t := template(name, time.Now().Add(-time.Minute), lasts)
	t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	return &Authority{cert, der, key}, nil
}

func template(name string, from time.Time, lasts time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: from,
		NotAfter: from.Add(lasts)}
}

// Issue writes a certificate and its key beside the authority's certificate into a folder and returns where they lie.
func (a *Authority) Issue(dir string, who Identity, from time.Time, lasts time.Duration) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, fmt.Errorf("issue %s: %w", who, err)
	}
	t := template(who.Name, from, lasts)
	t.URIs = []*url.URL{{Scheme: scheme, Host: string(who.Role), Path: "/" + who.Zone + "/" + who.Name}}
	t.KeyUsage, t.IPAddresses = x509.KeyUsageDigitalSignature, []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, fmt.Errorf("issue %s: %w", who, err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, fmt.Errorf("issue %s: %w", who, err)
	}
	f := Files{filepath.Join(dir, "authority.pem"), filepath.Join(dir, who.Name+".pem"), filepath.Join(dir, who.Name+"-key.pem")}
	for _, part := range []struct {
		path, kind string
		der        []byte
		mode       os.FileMode
	}{{f.Authority, "CERTIFICATE", a.der, 0o644}, {f.Key, "PRIVATE KEY", secret, 0o600}, {f.Certificate, "CERTIFICATE", der, 0o644}} {
		if err := replace(part.path, pem.EncodeToMemory(&pem.Block{Type: part.kind, Bytes: part.der}), part.mode); err != nil {
			return Files{}, fmt.Errorf("issue %s: %w", who, err)
		}
	}
	return f, nil
}

// replace writes a file beside the old one and renames it, so that nobody reads half of it.
func replace(path string, text []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, mode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
