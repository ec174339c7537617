// Package gossip carries gossip, short texts between controllers, over UDP. Each text is one datagram, which may get
// lost. Datagrams that are not gossip are dropped. With a secret the texts are sealed, and replays are dropped as
// well.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
)

// maxReceivedPerS is the number of texts accepted per second, all peers together. More would overload the loop.
const maxReceivedPerS = 1000

// Service is a controller's socket for gossip.
type Service struct {
	conn  net.PacketConn
	rank  int // of this controller
	peers map[int]net.Addr
	inbox controller.Inbox
	log   *zap.Logger
	limit *rate.Limiter

	// Secret, if not nil, seals all texts, and unsealed ones are dropped. It must be set before Run.
	Secret        *identity.Secret
	replayFilters map[int]*identity.ReplayFilter // by rank, owned by Run
}

// Open returns a service on an open socket, which Run will close. Peers are addresses by rank; this controller's own
// rank is ignored.
func Open(
	conn net.PacketConn, rank int, peers map[int]string, inbox controller.Inbox, log *zap.Logger,
) (*Service, error) {
	s := &Service{
		conn:          conn,
		rank:          rank,
		peers:         map[int]net.Addr{},
		inbox:         inbox,
		log:           log,
		limit:         rate.NewLimiter(maxReceivedPerS, maxReceivedPerS),
		replayFilters: map[int]*identity.ReplayFilter{},
	}
	for peer, name := range peers {
		address, err := net.ResolveUDPAddr("udp", name)
		if err != nil {
			return nil, fmt.Errorf("address of pilot %d: %w", peer, err)
		}
		s.peers[peer] = address
		s.replayFilters[peer] = &identity.ReplayFilter{}
	}
	return s, nil
}

// Tell sends a text to a peer, or to all peers if the rank is negative.
func (s *Service) Tell(peer int, text string) {
	for rank, address := range s.peers {
		toAll := peer < 0
		if rank == s.rank || !toAll && rank != peer {
			continue
		}
		if err := s.send(address, text); err != nil {
			s.log.Debug("gossip message not sent", zap.Int("to", rank), zap.Error(err))
		}
	}
}

// send sends a text to an address.
func (s *Service) send(to net.Addr, text string) error {
	datagram, err := s.encode(text)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteTo(datagram, to)
	return err
}

// encode returns a datagram of this controller, sealed if there is a secret.
func (s *Service) encode(text string) ([]byte, error) {
	if s.Secret == nil {
		return encodeDatagram(s.rank, text), nil
	}
	return seal(s.Secret, s.rank, text)
}

// Run receives gossip and posts it to the controller until ctx ends. It closes the socket.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // ends the read below
	defer stop()
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("read notes: %w", err)
		}
		if err != nil {
			continue // an ICMP error for a datagram that was sent
		}
		if !s.receive(ctx, buffer[:n], from) {
			return nil
		}
	}
}

// receive posts one datagram to the controller, or drops it. It returns false if ctx has ended.
func (s *Service) receive(ctx context.Context, datagram []byte, from net.Addr) bool {
	rank, text, err := s.decode(datagram)
	if err != nil || s.peers[rank] == nil || !s.limit.AllowN(time.Now(), 1) {
		s.log.Debug("gossip message dropped", zap.Stringer("from", from), zap.Error(err))
		return true
	}
	return s.inbox.Post(ctx, controller.GossipReceived{From: rank, Text: text}) == nil
}

// decode returns the sender's rank and the text of a datagram. The error wraps ErrDatagram or identity.ErrSeal.
func (s *Service) decode(b []byte) (rank int, text string, err error) {
	if s.Secret == nil {
		return decodeDatagram(b)
	}
	rank, number, text, err := unseal(s.Secret, b)
	if err != nil {
		return rank, text, err
	}
	if seen := s.replayFilters[rank]; seen != nil && !seen.Accept(number) {
		return rank, "", fmt.Errorf("it came before: %w", ErrDatagram)
	}
	return rank, text, nil
}

// Disabled is for controllers that have no peers.
type Disabled struct{}

// Tell does nothing.
func (Disabled) Tell(int, string) {}
