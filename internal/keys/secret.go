package keys

import (
	"bufio"
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	secretBytes = 32 // of a key of AES-256
	maxSecrets  = 4  // keys in a file
	nonceBytes  = 12 // of GCM
	tagBytes    = 16 // of GCM
	numberBytes = 8  // of a message's number, which is sealed along with it

	// SealBytes is how much longer a message gets when it is sealed.
	SealBytes = nonceBytes + tagBytes + numberBytes
)

// ErrSeal says that a message was not sealed under any of the keys.
var ErrSeal = errors.New("not sealed under a key of ours")

// Secret seals short messages between controllers with AES-256-GCM under keys that all of them share. The file holds
// one key a line in hex, the newest first: that one seals, any of them opens, so a key is changed by adding the new
// one at the end everywhere, then moving it up, then taking the old one away. A changed file is read at the next
// message; a wrong one leaves the old keys in force. It is safe for concurrent use.
type Secret struct {
	path string

	mu         sync.Mutex
	ciphers    []cipher.AEAD
	watch      fileWatch
	lastNumber uint64 // of the newest message that was sealed
}

// NewSecret writes a file with one new key.
func NewSecret(path string) error {
	key := make([]byte, secretBytes)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("make secret: %w", err)
	}
	return replace(path, []byte(hex.EncodeToString(key)+"\n"), secretMode)
}

// LoadSecret reads a file of keys.
func LoadSecret(path string) (*Secret, error) {
	s := &Secret{path: path}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// read reads the file. On an error the keys stay as they are.
func (s *Secret) read() error {
	stamp, err := newest(s.path)
	if err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	text, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	ciphers, err := s.parse(text)
	if err != nil {
		return err
	}
	s.ciphers = ciphers
	s.watch.readStamp = stamp
	return nil
}

// parse reads the keys from the file's text; empty lines are left out.
func (s *Secret) parse(text []byte) ([]cipher.AEAD, error) {
	var ciphers []cipher.AEAD
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		key, err := hex.DecodeString(string(line))
		if err != nil || len(key) != secretBytes { // the line itself is not shown
			return nil, fmt.Errorf("secret: %s:%d: no key of %d bytes in hex", s.path, n, secretBytes)
		}
		sealer, err := newCipher(key)
		if err != nil {
			return nil, fmt.Errorf("secret: %s:%d: %w", s.path, n, err)
		}
		ciphers = append(ciphers, sealer)
	}
	if len(ciphers) == 0 || len(ciphers) > maxSecrets {
		return nil, fmt.Errorf("secret: %s holds %d keys, wanted are 1 to %d", s.path, len(ciphers), maxSecrets)
	}
	return ciphers, nil
}

// newCipher returns AES-GCM under a key.
func newCipher(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// current returns the keys in force, after a look at the file. The caller holds the lock.
func (s *Secret) current() []cipher.AEAD {
	s.watch.reload(s.read, s.path)
	return s.ciphers
}

// Wrong returns what is wrong with a file that has changed since it was read, if anything.
func (s *Secret) Wrong() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current()
	return s.watch.err
}

// Seal appends a sealed message to b. What is outside is not hidden but can't be changed either. Each message carries a
// number above those before, also of earlier lives of the process while the clock does not go back.
func (s *Secret) Seal(b, outside, message []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.current()[0]
	s.lastNumber = max(s.lastNumber+1, uint64(time.Now().UnixNano()))
	nonce := make([]byte, newest.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	inside := binary.BigEndian.AppendUint64(nil, s.lastNumber)
	inside = append(inside, message...)
	return newest.Seal(append(b, nonce...), nonce, inside, outside), nil
}

// Open opens a message and returns its number. It returns ErrSeal if none of the keys opens it.
func (s *Secret) Open(outside, sealed []byte) (number uint64, message []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ciphers := s.current()
	if len(sealed) < SealBytes {
		return 0, nil, ErrSeal
	}
	for _, key := range ciphers {
		nonce := sealed[:key.NonceSize()]
		inside, err := key.Open(nil, nonce, sealed[key.NonceSize():], outside)
		if err == nil {
			return binary.BigEndian.Uint64(inside), inside[numberBytes:], nil
		}
	}
	return 0, nil, ErrSeal
}
