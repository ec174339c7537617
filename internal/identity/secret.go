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
	"slices"
	"sync"
	"time"
)

// Secret seals short messages between pilots with AES-256-GCM under keys that all of them share. The file holds one key
// a line in hex, the newest first: that one seals, any of them opens, so a key is changed by adding the new one at the
// end everywhere, then moving it up, then taking the old one away. A changed file is read at the next message.
type Secret struct {
	path  string
	mu    sync.Mutex
	boxes []cipher.AEAD
	seen  look
	last  uint64
}

// Limits of sealing.
const (
	secretBytes = 32
	secretsMost = 4
	// SealBytes is how much longer a message gets.
	SealBytes = 12 + 16 + 8
)

// ErrSeal says that a message was not sealed under any of the keys.
var ErrSeal = errors.New("not sealed under a key of ours")

// NewSecret writes a file with one new key.
func NewSecret(path string) error {
	key := make([]byte, secretBytes)
	if _, err := rand.Read(key); err != nil {
		return fmt.Errorf("make secret: %w", err)
	}
	return replace(path, []byte(hex.EncodeToString(key)+"\n"), 0o600)
}

// LoadSecret reads a file of keys.
func LoadSecret(path string) (*Secret, error) {
	s := &Secret{path: path}
	if err := s.read(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Secret) read() error {
	stamp, err := newest(s.path)
	if err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	text, err := os.ReadFile(s.path)
	if err != nil {
		return fmt.Errorf("secret: %w", err)
	}
	var boxes []cipher.AEAD
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		key, err := hex.DecodeString(string(line))
		if err != nil || len(key) != secretBytes { // the line itself is not shown
			return fmt.Errorf("secret: %s:%d: no key of %d bytes in hex", s.path, n, secretBytes)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return fmt.Errorf("secret: %s:%d: %w", s.path, n, err)
		}
		box, err := cipher.NewGCM(block)
		if err != nil {
			return fmt.Errorf("secret: %s:%d: %w", s.path, n, err)
		}
		boxes = append(boxes, box)
	}
	if len(boxes) == 0 || len(boxes) > secretsMost {
		return fmt.Errorf("secret: %s holds %d keys, wanted are 1 to %d", s.path, len(boxes), secretsMost)
	}
	s.boxes, s.seen.stamp = boxes, stamp
	return nil
}

// now returns the keys in force, after a look at the file.
func (s *Secret) now() []cipher.AEAD {
	s.seen.anew(s.read, s.path)
	return s.boxes
}

// Err returns what is wrong with a file that has changed since it was read, if anything.
func (s *Secret) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now()
	return s.seen.wrong
}

// Seal closes a message behind b. Outside is not hidden but can't be changed either. Each message carries a number
// above those before, also of earlier lives while the clock does not go back.
func (s *Secret) Seal(b, outside, message []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	box := s.now()[0]
	s.last = max(s.last+1, uint64(time.Now().UnixNano()))
	nonce := make([]byte, box.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return nil, fmt.Errorf("seal: %w", err)
	}
	inside := binary.BigEndian.AppendUint64(nil, s.last)
	return box.Seal(append(b, nonce...), nonce, append(inside, message...), outside), nil
}

// Open opens a message and returns its number.
func (s *Secret) Open(outside, sealed []byte) (number uint64, message []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, box := range s.now() {
		n := box.NonceSize()
		if len(sealed) < SealBytes {
			break
		}
		if inside, err := box.Open(nil, sealed[:n], sealed[n:], outside); err == nil {
			return binary.BigEndian.Uint64(inside), inside[8:], nil
		}
	}
	return 0, nil, ErrSeal
}

// ReplayFilter tells repeats of numbered messages from one sender: each number counts once, and none far below the newest.
// Its zero value has seen nothing.
type ReplayFilter struct {
	seen   []uint64
	newest uint64
}

// Figures of Once: numbers kept, and how far below the newest one may lie, in units of numbers (ns).
const (
	onceKeeps  = 1024
	onceWithin = uint64(5 * time.Second)
)

// Accept returns whether a number is met for the first time.
func (o *ReplayFilter) Accept(number uint64) bool {
	if number+onceWithin < o.newest || slices.Contains(o.seen, number) ||
		len(o.seen) == onceKeeps && number < o.seen[0] {
		return false
	}
	at, _ := slices.BinarySearch(o.seen, number)
	o.seen = slices.Insert(o.seen, at, number)
	if len(o.seen) > onceKeeps {
		o.seen = slices.Delete(o.seen, 0, 1)
	}
	o.newest = max(o.newest, number)
	return true
}
