package identity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files of a key store.
type Files struct{ Authority, Certificate, Key string }

// paths returns the paths of all files.
func (f Files) paths() []string { return []string{f.Authority, f.Certificate, f.Key} }

// KeyStore is the key store of a process: its own certificate, and the authority that peers are verified against. The
// files are reloaded at the next handshake after they have changed; if they are invalid, the previous keys stay in
// force. It is safe for concurrent use.
type KeyStore struct {
	files      Files
	onRejected func(peer net.Addr, err error) // called for each rejected peer, to inform operators; may be nil

	mu    sync.Mutex
	cert  *tls.Certificate // with Leaf set
	pool  *x509.CertPool   // the authority's certificates
	watch fileWatch
}

// Load reads a key store. If onRejected is not nil, it is called with the address of each rejected peer and the reason.
func Load(f Files, onRejected func(net.Addr, error)) (*KeyStore, error) {
	k := &KeyStore{files: f, onRejected: onRejected}
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

// read reads the files. On an error the store is unchanged.
func (k *KeyStore) read() error {
	stamp, err := newestModTime(k.files.paths()...)
	if err != nil {
		return err
	}
	cert, err := readCertificate(k.files.Certificate, k.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", k.files.Certificate, err)
	}
	authority, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return fmt.Errorf("read certificate of the authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return fmt.Errorf("file of the authority %s contains no certificate", k.files.Authority)
	}
	k.cert = cert
	k.pool = pool
	k.watch.readStamp = stamp
	return nil
}

// readCertificate reads a certificate and its key. It returns an error if the certificate has no valid identity.
func readCertificate(certFile, keyFile string) (*tls.Certificate, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	if cert.Leaf == nil {
		cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0])
		if err != nil {
			return nil, err
		}
	}
	if _, err := FromCertificate(cert.Leaf); err != nil {
		return nil, err
	}
	return &cert, nil
}

// current returns the current certificate and pool of authorities. It first reloads them if the files have changed.
func (k *KeyStore) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch.reload(k.read, k.files.paths()...)
	return k.cert, k.pool
}

// Err returns the error of the last reload, or nil if the keys in use are those in the files.
func (k *KeyStore) Err() error {
	k.current()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watch.err
}

// Expires returns the expiry of the process's own certificate.
func (k *KeyStore) Expires() time.Time {
	cert, _ := k.current()
	return cert.Leaf.NotAfter
}

// Identity returns the identity in the process's own certificate.
func (k *KeyStore) Identity() Identity {
	cert, _ := k.current()
	identity, _ := FromCertificate(cert.Leaf) // can't fail: readCertificate checks it
	return identity
}
