// Package peers carries short texts between pilots over UDP: at most one datagram each, lost without a word, never
// waited for. Datagrams open with a magic and the sender's rank; whatever else arrives is counted and dropped. With a
// secret what follows is sealed, and a datagram that comes again is dropped as well.
package peers

import (
	"encoding/binary"
	"errors"

	"indigousher/internal/keys"
)

// magic opens each datagram; its last byte is the version.
var magic = [4]byte{'i', 'n', 'u', 1}

// MaxText is the longest text in bytes.
const MaxText = 1024

const headerBytes = len(magic) + 2

// ErrDatagram says that a datagram is none of ours.
var ErrDatagram = errors.New("not a note between pilots")

// Encode lays out a datagram.
func Encode(from int, text string) []byte {
	b := append([]byte{}, magic[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	return append(b, text[:min(len(text), MaxText)]...)
}

// Decode takes a datagram apart.
func Decode(b []byte) (from int, text string, err error) {
	if len(b) < headerBytes || [4]byte(b[:4]) != magic || len(b) > headerBytes+MaxText {
		return 0, "", ErrDatagram
	}
	return int(binary.BigEndian.Uint16(b[4:])), string(b[headerBytes:]), nil
}

// seal lays out a datagram whose text only those can read who share the secret.
func seal(s *keys.Secret, from int, text string) ([]byte, error) {
	b := Encode(from, text)
	return s.Seal(append([]byte{}, b[:headerBytes]...), b[:headerBytes], b[headerBytes:])
}

// unseal takes one apart, with its number.
func unseal(s *keys.Secret, b []byte) (from int, number uint64, text string, err error) {
	if len(b) < headerBytes {
		return 0, 0, "", ErrDatagram
	}
	number, inside, err := s.Open(b[:headerBytes], b[headerBytes:])
	if err != nil {
		return 0, 0, "", err
	}
	from, text, err = Decode(append(append([]byte{}, b[:headerBytes]...), inside...))
	return from, number, text, err
}
