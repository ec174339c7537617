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
	secretBytes = 32 // size of a key, for AES-256
	maxSecrets  = 4  // maximum number of keys in a file
	nonceBytes  = 12 // size of the GCM nonce
	tagBytes    = 16 // size of the GCM authentication tag
	numberBytes = 8  // size of the message number, which is encrypted with the message

	// SealBytes is the number of bytes that sealing adds to a message.
	SealBytes = nonceBytes + tagBytes + numberBytes
)

// ErrSeal means that a message can't be decrypted with any of the keys.
var ErrSeal = errors.New("message is not sealed with a known key")

// Secret encrypts short messages between controllers with AES-256-GCM and shared keys. The key file holds one key per
// line in hex, the newest first. Messages are sealed with the first key and opened with any of them. To rotate keys,
// append the new key to the files of all controllers, then move it to the first line, then remove the old key. The file
// is reloaded at the next message after it has changed; if it is invalid, the previous keys remain in use. A Secret is
// safe for concurrent use.
type Secret struct {
	path string

	mu         sync.Mutex
	ciphers    []cipher.AEAD // one per key, in the order of the file
	watch      fileWatch
	lastNumber uint64 // number of the message that was sealed last
}

// NewSecret writes a key file with one new random key.
func NewSecret(path string) error {
	key := make([]byte, secretBytes)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("generate secret: %w", err)
	}
	return writeFileAtomic(path, []byte(hex.EncodeToString(key)+"\n"), secretMode)
}

// LoadSecret reads a key file.
func LoadSecret(path string) (*Secret, error) {
	s := &Secret{path: path}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

// read reads the key file. On an error the keys are unchanged.
func (s *Secret) read() error {
	stamp, err := newestModTime(s.path)
	if err != nil {
		return fmt.Errorf("read secret: %w", err)
	}
	text, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("read secret: %w", err)
	}
	ciphers, err := s.parse(text)
	if err != nil {
		return err
	}
	s.ciphers = ciphers
	s.watch.readStamp = stamp
	return nil
}

// parse returns the ciphers of the keys in the text of a key file. It ignores empty lines.
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
			return nil, fmt.Errorf("parse secret: %s:%d: no key of %d bytes in hex", s.path, n, secretBytes)
		}
		aead, err := newCipher(key)
		if err != nil {
			return nil, fmt.Errorf("parse secret: %s:%d: %w", s.path, n, err)
		}
		ciphers = append(ciphers, aead)
	}
	if len(ciphers) == 0 || len(ciphers) > maxSecrets {
		return nil, fmt.Errorf("parse secret: %s has %d keys, must have 1 to %d", s.path, len(ciphers), maxSecrets)
	}
	return ciphers, nil
}

// newCipher returns AES-GCM with the given key.
func newCipher(key []byte) (cipher.AEAD, error) {
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// current returns the ciphers of the current keys. It first reloads them if the file has changed. The caller must hold
// the lock.
func (s *Secret) current() []cipher.AEAD {
	s.watch.reload(s.read, s.path)
	return s.ciphers
}

// Err returns the error of the last reload, or nil if the keys in use are those in the file.
func (s *Secret) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current()
	return s.watch.err
}

// Seal encrypts a message and appends the result to b. additionalData is authenticated but not part of the result. Each
// message has a greater number than the messages before it, even after a restart of the process, unless the system
// clock was set back.
func (s *Secret) Seal(b, additionalData, message []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sealer := s.current()[0]
	s.lastNumber = max(s.lastNumber+1, uint64(time.Now().UnixNano()))
	nonce := make([]byte, sealer.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("generate nonce: %w", err)
	}
	plaintext := binary.BigEndian.AppendUint64(nil, s.lastNumber)
	plaintext = append(plaintext, message...)
	return sealer.Seal(append(b, nonce...), nonce, plaintext, additionalData), nil
}

// Open decrypts a sealed message and returns it and its number. It returns ErrSeal if no key decrypts the message with
// the given additionalData.
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
