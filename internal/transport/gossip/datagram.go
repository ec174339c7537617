package gossip

import (
	"encoding/binary"
	"errors"

	"indigousher/internal/identity"
)

// magic is the start of each datagram. The header consists of magic and the rank of the sender (16 bits, big-endian).
// The text follows. If a secret is configured, the text is encrypted and both are authenticated.
var magic = [4]byte{'i', 'n', 'u', 1} // the last byte is the format version

const (
	// MaxText is the largest length of a text in bytes.
	MaxText = 1024

	// headerBytes is the length of the header in bytes.
	headerBytes = len(magic) + 2

	// readBufferBytes is the length of the longest datagram plus 1, in bytes, so that longer datagrams are detected.
	readBufferBytes = headerBytes + identity.SealBytes + MaxText + 1
)

// ErrDatagram means that a datagram is not a valid gossip message, or that it is a replay of an earlier one.
var ErrDatagram = errors.New("invalid gossip datagram")

// encodeDatagram returns a datagram without encryption; from is the rank of the sender. The text is truncated to
// MaxText bytes.
func encodeDatagram(from int, text string) []byte {
	b := append([]byte{}, magic[:]...)
	b = binary.BigEndian.AppendUint16(b, uint16(from))
	return append(b, text[:min(len(text), MaxText)]...)
}

// decodeDatagram returns the sender's rank and the text of a datagram without encryption, or ErrDatagram.
func decodeDatagram(b []byte) (from int, text string, err error) {
	if len(b) < headerBytes || [4]byte(b[:len(magic)]) != magic || len(b) > headerBytes+MaxText {
		return 0, "", ErrDatagram
	}
	from = int(binary.BigEndian.Uint16(b[len(magic):]))
	return from, string(b[headerBytes:]), nil
}

// seal returns a datagram whose text is encrypted and whose header is authenticated with the secret.
func seal(s *identity.Secret, from int, text string) ([]byte, error) {
	plain := encodeDatagram(from, text)
	header := plain[:headerBytes]
	return s.Seal(append([]byte{}, header...), header, plain[headerBytes:])
}

// unseal authenticates and decrypts a datagram. It returns the sender's rank, the message number for the replay filter,
// and the text.
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
