package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Files are where a ring's keys lie.
type Files struct{ Authority, Certificate, Key string }

func (f Files) list() []string { return []string{f.Authority, f.Certificate, f.Key} }

// Ring holds one's own certificate and the authority that others are checked against. Files that change are read anew
// at the next handshake; wrong ones leave the old in force.
type Ring struct {
	files   Files
	refused func(peer net.Addr, err error) // tells operators
	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	watch   fileWatch
}

// Load reads a ring. Refused is called, if not nil, for each peer that is turned away.
func Load(f Files, refused func(net.Addr, error)) (*Ring, error) {
	r := &Ring{files: f, refused: refused}
	if err := r.read(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Ring) read() error {
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
	if _, err := Of(cert.Leaf); err != nil {
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
	r.cert, r.pool, r.watch.readStamp = &cert, pool, stamp
	return nil
}

// current returns the keys in force, after a look at the files.
func (r *Ring) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.reload(r.read, r.files.list()...)
	return r.cert, r.pool
}

// Wrong returns what is wrong with files that have changed since they were read, if anything.
func (r *Ring) Wrong() error {
	r.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watch.err
}

// Expires returns when one's own certificate ends.
func (r *Ring) Expires() time.Time {
	cert, _ := r.current()
	return cert.Leaf.NotAfter
}

// Identity returns who the ring's own certificate says one is.
func (r *Ring) Identity() Identity {
	cert, _ := r.current()
	i, _ := Of(cert.Leaf) // checked when it was read
	return i
}
