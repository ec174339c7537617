package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"indigousher/internal/keys"
	"indigousher/internal/pilot"
)

// Post is one pilot's socket for notes.
type Post struct {
	conn  net.PacketConn
	rank  int
	peers map[int]net.Addr
	inbox pilot.Inbox
	log   *zap.Logger
	limit *rate.Limiter
	// Secret, if not nil, seals all notes; nothing else is taken in.
	Secret  *keys.Secret
	repeats map[int]*keys.Once
}

// Open returns a post on an open socket. Peers are addresses by rank.
func Open(conn net.PacketConn, rank int, peers map[int]string, inbox pilot.Inbox, log *zap.Logger) (*Post, error) {
	p := &Post{conn: conn, rank: rank, peers: map[int]net.Addr{}, inbox: inbox, log: log,
		limit: rate.NewLimiter(1000, 1000), repeats: map[int]*keys.Once{}}
	for r, name := range peers {
		a, err := net.ResolveUDPAddr("udp", name)
		if err != nil {
			return nil, fmt.Errorf("address of pilot %d: %w", r, err)
		}
		p.peers[r], p.repeats[r] = a, &keys.Once{}
	}
	return p, nil
}

// Tell sends a text to a peer, or to all with -1.
func (p *Post) Tell(peer int, text string) {
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
func (p *Post) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, headerBytes+keys.SealBytes+MaxText+1)
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
		rank, text, err := p.decode(buf[:n])
		if err != nil || p.peers[rank] == nil || !p.limit.AllowN(time.Now(), 1) {
			p.log.Debug("note dropped", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		if err := p.inbox.Post(ctx, pilot.Heard{From: rank, Text: text}); err != nil {
			return nil
		}
	}
}

// decode takes a datagram apart, if it is one that may count.
func (p *Post) decode(b []byte) (rank int, text string, err error) {
	if p.Secret == nil {
		return Decode(b)
	}
	rank, number, text, err := unseal(p.Secret, b)
	if err == nil && p.repeats[rank] != nil && !p.repeats[rank].New(number) {
		return rank, "", fmt.Errorf("it came before: %w", ErrDatagram)
	}
	return rank, text, err
}

// Nobody is for pilots that have no peers to talk to.
type Nobody struct{}

// Tell does nothing.
func (Nobody) Tell(int, string) {}
