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

// Files are the PEM files of a key store.
type Files struct{ Authority, Certificate, Key string }

func (f Files) paths() []string { return []string{f.Authority, f.Certificate, f.Key} }

// KeyStore is the key store of a process: its own certificate, and the authority that peers are verified against. The
// files are reloaded at the next handshake after they have changed; if they are invalid, the previous keys stay in
// force. It is safe for concurrent use.
type KeyStore struct {
	files      Files
	onRejected func(peer net.Addr, err error) // reports a rejected peer to operators; may be nil

	mu    sync.Mutex
	cert  *tls.Certificate // Leaf is set
	pool  *x509.CertPool
	watch fileWatch
}

// Load reads a key store. If refused is not nil, it is called for each rejected peer.
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
		return fmt.Errorf("keys: %s: %w", k.files.Certificate, err)
	}
	authority, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return fmt.Errorf("keys: %s holds no certificate", k.files.Authority)
	}
	k.cert = cert
	k.pool = pool
	k.watch.readStamp = stamp
	return nil
}

// readCertificate reads a certificate with an identity, and its key.
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

// current returns the keys in force, reloaded if the files have changed.
func (k *KeyStore) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watch.reload(k.read, k.files.paths()...)
	return k.cert, k.pool
}

// Err returns the error of the last reload, or nil if the files in force are the latest.
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
	identity, _ := FromCertificate(cert.Leaf) // checked when it was read
	return identity
}
