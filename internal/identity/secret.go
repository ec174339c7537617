package identity

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
	secretBytes = 32 // AES-256 key
	maxSecrets  = 4  // keys in a file
	nonceBytes  = 12 // GCM nonce
	tagBytes    = 16 // GCM authentication tag
	numberBytes = 8  // message number, which is encrypted along with the message

	// SealBytes is the number of bytes that sealing adds to a message.
	SealBytes = nonceBytes + tagBytes + numberBytes
)

// ErrSeal means that none of the keys opens a message.
var ErrSeal = errors.New("not sealed under a key of ours")

// Secret seals short messages between controllers with AES-256-GCM under shared keys. The file holds one key per line
// in hex, the newest first. The first key seals, any of them opens, so a key is rotated by appending the new one
// everywhere, then moving it to the top, then removing the old one. The file is reloaded at the next message after it
// has changed; if it is invalid, the previous keys stay in force. It is safe for concurrent use.
type Secret struct {
	path string

	mu         sync.Mutex
	ciphers    []cipher.AEAD
	watch      fileWatch
	lastNumber uint64 // of the newest sealed message
}

// NewSecret writes a file with one new random key.
func NewSecret(path string) error {
	key := make([]byte, secretBytes)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("make secret: %w", err)
	}
	return writeFileAtomic(path, []byte(hex.EncodeToString(key)+"\n"), secretMode)
}

// LoadSecret reads a file of keys.
func LoadSecret(path string) (*Secret, error) {
	s := &Secret{path: path}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// read reads the file. On an error the keys are unchanged.
func (s *Secret) read() error {
	stamp, err := newestModTime(s.path)
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

// parse returns the keys in the file's text. Empty lines are ignored.
func (s *Secret) parse(text []byte) ([]cipher.AEAD, error) {
	var ciphers []cipher.AEAD
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		key, err := hex.DecodeString(string(line))
		if err != nil || len(key) != secretBytes { // the error must not contain the key
			return nil, fmt.Errorf("secret: %s:%d: no key of %d bytes in hex", s.path, n, secretBytes)
		}
		aead, err := newCipher(key)
		if err != nil {
			return nil, fmt.Errorf("secret: %s:%d: %w", s.path, n, err)
		}
		ciphers = append(ciphers, aead)
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

// current returns the keys in force, reloaded if the file has changed. The caller holds the lock.
func (s *Secret) current() []cipher.AEAD {
	s.watch.reload(s.read, s.path)
	return s.ciphers
}

// Err returns the error of the last reload, or nil if the keys in force are the latest.
func (s *Secret) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current()
	return s.watch.err
}

// Seal appends a sealed message to b. The data in outside is authenticated but not encrypted. Each message carries a
// number greater than those before, also across restarts of the process as long as the clock does not go back.
func (s *Secret) Seal(b, additionalData, message []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sealer := s.current()[0]
	s.lastNumber = max(s.lastNumber+1, uint64(time.Now().UnixNano()))
	nonce := make([]byte, sealer.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	plaintext := binary.BigEndian.AppendUint64(nil, s.lastNumber)
	plaintext = append(plaintext, message...)
	return sealer.Seal(append(b, nonce...), nonce, plaintext, additionalData), nil
}

// Open decrypts a sealed message and returns it and its number. It returns ErrSeal if none of the keys opens it.
func (s *Secret) Open(additionalData, sealed []byte) (number uint64, message []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ciphers := s.current()
	if len(sealed) < SealBytes {
		return 0, nil, ErrSeal
	}
	for _, key := range ciphers {
		nonce := sealed[:key.NonceSize()]
		plaintext, err := key.Open(nil, nonce, sealed[key.NonceSize():], additionalData)
		if err == nil {
			return binary.BigEndian.Uint64(plaintext), plaintext[numberBytes:], nil
		}
	}
	return 0, nil, ErrSeal
}
