// Package gossip carries short texts between pilots over UDP: at most one datagram each, lost without a word, never
// waited for. Datagrams open with a magic and the sender's rank; whatever else arrives is counted and dropped. With a
// secret what follows is sealed, and a datagram that comes again is dropped as well.
package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
)

// magic opens each datagram; its last byte is the version.
var magic = [4]byte{'i', 'n', 'u', 1}

// MaxText is the longest text in bytes.
const MaxText = 1024

const headBytes = len(magic) + 2

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
	if len(b) < headBytes || [4]byte(b[:4]) != magic || len(b) > headBytes+MaxText {
		return 0, "", ErrDatagram
	}
	return int(binary.BigEndian.Uint16(b[4:])), string(b[headBytes:]), nil
}

// seal lays out a datagram whose text only those can read who share the secret.
func seal(s *identity.Secret, from int, text string) ([]byte, error) {
	b := Encode(from, text)
	return s.Seal(append([]byte{}, b[:headBytes]...), b[:headBytes], b[headBytes:])
}

// unseal takes one apart, with its number.
func unseal(s *identity.Secret, b []byte) (from int, number uint64, text string, err error) {
	if len(b) < headBytes {
		return 0, 0, "", ErrDatagram
	}
	number, inside, err := s.Open(b[:headBytes], b[headBytes:])
	if err != nil {
		return 0, 0, "", err
	}
	from, text, err = Decode(append(append([]byte{}, b[:headBytes]...), inside...))
	return from, number, text, err
}

// Service is one pilot's socket for notes.
type Service struct {
	conn  net.PacketConn
	rank  int
	peers map[int]net.Addr
	inbox controller.Inbox
	log   *zap.Logger
	pace  *rate.Limiter
	// Secret, if not nil, seals all notes; nothing else is taken in.
	Secret *identity.Secret
	once   map[int]*identity.ReplayFilter
}

// Open returns a post on an open socket. Peers are addresses by rank.
func Open(conn net.PacketConn, rank int, peers map[int]string, inbox controller.Inbox, log *zap.Logger) (*Service, error) {
	p := &Service{conn: conn, rank: rank, peers: map[int]net.Addr{}, inbox: inbox, log: log,
		pace: rate.NewLimiter(1000, 1000), once: map[int]*identity.ReplayFilter{}}
	for r, name := range peers {
		a, err := net.ResolveUDPAddr("udp", name)
		if err != nil {
			return nil, fmt.Errorf("address of pilot %d: %w", r, err)
		}
		p.peers[r], p.once[r] = a, &identity.ReplayFilter{}
	}
	return p, nil
}

// Tell sends a text to a peer, or to all with -1.
func (p *Service) Tell(peer int, text string) {
	for r, a := range p.peers {
		if r == p.rank || peer >= 0 && r != peer {
			continue
		}
		b, err := Encode(p.rank, text), error(nil)
		if p.Secret != nil {
			b, err = seal(p.Secret, p.rank, text)
		}
		if err == nil {
			_, err = p.conn.WriteTo(b, a)
		}
		if err != nil {
			p.log.Debug("note to a pilot lost", zap.Int("to", r), zap.Error(err))
		}
	}
}

// Run takes in notes until ctx ends. More than a thousand a second are dropped: they could only harm the loop.
func (p *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, headBytes+identity.SealBytes+MaxText+1)
	for {
		n, from, err := p.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("read notes: %w", err)
			}
			continue // a refusal that a former note met
		}
		rank, text, err := p.open(buf[:n])
		if err != nil || p.peers[rank] == nil || !p.pace.AllowN(time.Now(), 1) {
			p.log.Debug("note dropped", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		if err := p.inbox.Post(ctx, controller.GossipReceived{From: rank, Text: text}); err != nil {
			return nil
		}
	}
}

// open takes a datagram apart, if it is one that may count.
func (p *Service) open(b []byte) (rank int, text string, err error) {
	if p.Secret == nil {
		return Decode(b)
	}
	rank, number, text, err := unseal(p.Secret, b)
	if err == nil && p.once[rank] != nil && !p.once[rank].Accept(number) {
		return rank, "", fmt.Errorf("it came before: %w", ErrDatagram)
	}
	return rank, text, err
}

// Disabled is for pilots that have no peers to talk to.
type Disabled struct{}

// Tell does nothing.
func (Disabled) Tell(int, string) {}
