package gossip

import (
	"encoding/binary"
	"errors"

	"indigousher/internal/identity"
)

// magic starts each datagram. The header is completed by the sender's rank (16 bits, big-endian); the text follows.
// With a secret the text is sealed and the header authenticated.
var magic = [4]byte{'i', 'n', 'u', 1} // the last byte is the version

const (
	// MaxText is the largest length of a text in bytes.
	MaxText = 1024

	headerBytes = len(magic) + 2

	// readBufferBytes is one byte more than the longest datagram, so that longer ones are detected.
	readBufferBytes = headerBytes + identity.SealBytes + MaxText + 1
)

// ErrDatagram means that a datagram is not gossip, or a replay.
var ErrDatagram = errors.New("not a note between pilots")

// encodeDatagram returns a datagram. Texts longer than MaxText are truncated.
func encodeDatagram(from int, text string) []byte {
	b := append([]byte{}, magic[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	return append(b, text[:min(len(text), MaxText)]...)
}

// decodeDatagram returns the sender's rank and the text of a datagram, or ErrDatagram.
func decodeDatagram(b []byte) (from int, text string, err error) {
	if len(b) < headerBytes || [4]byte(b[:len(magic)]) != magic || len(b) > headerBytes+MaxText {
		return 0, "", ErrDatagram
	}
	from = int(binary.BigEndian.Uint16(b[len(magic):]))
	return from, string(b[headerBytes:]), nil
}

// seal returns a datagram whose text is sealed with the secret.
func seal(s *identity.Secret, from int, text string) ([]byte, error) {
	plain := encodeDatagram(from, text)
	header := plain[:headerBytes]
	return s.Seal(append([]byte{}, header...), header, plain[headerBytes:])
}

// unseal opens a sealed datagram. The number identifies the message to the replay filter.
func unseal(s *identity.Secret, b []byte) (from int, number uint64, text string, err error) {
	if len(b) < headerBytes {
		return 0, 0, "", ErrDatagram
	}
	header := b[:headerBytes]
	number, opened, err := s.Open(header, b[headerBytes:])
	if err != nil {
		return 0, 0, "", err
	}
	plain := append(append([]byte{}, header...), opened...)
	from, text, err = decodeDatagram(plain)
	return from, number, text, err
}
