package peers

import (
	"encoding/binary"
	"errors"

	"indigousher/internal/keys"
)

// A datagram is a header of magic and the sender's rank (16 bits, big-endian), and a text. With a secret the text is
// sealed, and the header is not hidden but can't be changed.
var magic = [4]byte{'i', 'n', 'u', 1} // the last byte is the version

const (
	// MaxText is the longest text in bytes.
	MaxText = 1024

	headerBytes = len(magic) + 2

	// readBufferBytes is one more than the longest datagram takes, so that a longer one is seen to be too long.
	readBufferBytes = headerBytes + keys.SealBytes + MaxText + 1
)

// ErrDatagram says that a datagram is none of ours.
var ErrDatagram = errors.New("not a note between pilots")

// Encode lays out a datagram. A text that is too long is cut off.
func Encode(from int, text string) []byte {
	b := append([]byte{}, magic[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	return append(b, text[:min(len(text), MaxText)]...)
}

// Decode takes a datagram apart. It returns ErrDatagram if it is none of ours.
func Decode(b []byte) (from int, text string, err error) {
	if len(b) < headerBytes || [4]byte(b[:len(magic)]) != magic || len(b) > headerBytes+MaxText {
		return 0, "", ErrDatagram
	}
	from = int(binary.BigEndian.Uint16(b[len(magic):]))
	return from, string(b[headerBytes:]), nil
}

// seal lays out a datagram whose text only those can read who share the secret.
func seal(s *keys.Secret, from int, text string) ([]byte, error) {
	plain := Encode(from, text)
	header := plain[:headerBytes]
	return s.Seal(append([]byte{}, header...), header, plain[headerBytes:])
}

// unseal takes a sealed datagram apart. Number is that of the message, by which repeats are told.
func unseal(s *keys.Secret, b []byte) (from int, number uint64, text string, err error) {
	if len(b) < headerBytes {
		return 0, 0, "", ErrDatagram
	}
	header := b[:headerBytes]
	number, inside, err := s.Open(header, b[headerBytes:])
	if err != nil {
		return 0, 0, "", err
	}
	plain := append(append([]byte{}, header...), inside...)
	from, text, err = Decode(plain)
	return from, number, text, err
}
