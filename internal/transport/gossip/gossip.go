// Package gossip exchanges short texts between pilots over UDP. Each text is one datagram, which may be lost. Invalid
// datagrams are dropped. If a secret is configured, texts are encrypted and authenticated, and replays are dropped too.
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

// maxReceivedPerS is the largest number of texts accepted per second from all peers together. It protects the control
// loop from overload; further texts are dropped.
const maxReceivedPerS = 1000

// Service sends and receives the gossip messages of one pilot.
type Service struct {
	conn  net.PacketConn
	rank  int              // of this pilot
	peers map[int]net.Addr // by rank
	inbox controller.Inbox
	log   *zap.Logger
	limit *rate.Limiter

	// Secret encrypts and authenticates all texts. Texts that are not sealed with it are dropped. If it is nil, texts
	// are sent and accepted in plain. It must be set before Run is called.
	Secret        *identity.Secret
	replayFilters map[int]*identity.ReplayFilter // by rank; used only by the goroutine of Run
}

// Open returns a service that uses an open socket, which Run closes. peers contains the addresses of the pilots by
// rank; rank is the rank of this pilot, to which nothing is sent.
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

// send sends a text in one datagram to an address.
func (s *Service) send(to net.Addr, text string) error {
	datagram, err := s.encode(text)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteTo(datagram, to)
	return err
}

// encode returns a datagram with the rank of this pilot, which is sealed if a secret is set.
func (s *Service) encode(text string) ([]byte, error) {
	if s.Secret == nil {
		return encodeDatagram(s.rank, text), nil
	}
	return seal(s.Secret, s.rank, text)
}

// Run receives gossip messages and posts them to the inbox until ctx is cancelled. It closes the socket when ctx is
// cancelled. It returns an error if the socket is closed by others.
func (s *Service) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // unblocks ReadFrom
	defer stop()
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := s.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("read gossip: %w", err)
		}
		if err != nil {
			continue // for example an ICMP error caused by a datagram sent earlier
		}
		if !s.receive(ctx, buffer[:n], from) {
			return nil
		}
	}
}

// receive posts the text of one datagram to the inbox, or drops the datagram. It returns false if ctx is cancelled.
func (s *Service) receive(ctx context.Context, datagram []byte, from net.Addr) bool {
	rank, text, err := s.decode(datagram)
	if err != nil || s.peers[rank] == nil || !s.limit.AllowN(time.Now(), 1) {
		s.log.Debug("gossip message dropped", zap.Stringer("from", from), zap.Error(err))
		return true
	}
	return s.inbox.Post(ctx, controller.GossipReceived{From: rank, Text: text}) == nil
}

// decode returns the sender's rank and the text of a datagram. It returns an error that wraps ErrDatagram or
// identity.ErrSeal if the datagram is invalid, is not sealed with the secret, or is a replay.
func (s *Service) decode(b []byte) (rank int, text string, err error) {
	if s.Secret == nil {
		return decodeDatagram(b)
	}
	rank, number, text, err := unseal(s.Secret, b)
	if err != nil {
		return rank, text, err
	}
	if seen := s.replayFilters[rank]; seen != nil && !seen.Accept(number) {
		return rank, "", fmt.Errorf("replay of message %d: %w", number, ErrDatagram)
	}
	return rank, text, nil
}

// Disabled is the gossip sender of a pilot without peers.
type Disabled struct{}

// Tell does nothing.
func (Disabled) Tell(int, string) {}
