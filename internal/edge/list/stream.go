package list

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Stream follows a list source over the framed protocol. The source sends the whole list at first and changes after;
// a connection that breaks is told as ListLost and opened again, with a whole list to follow.
type Stream struct {
	name    string // this pilot's name
	address string
	dial    Dial
	inbox   pilot.Inbox
	log     *zap.Logger
	silence time.Duration // without a word for so long the source is taken for lost
	asks    chan wire.ListAsk
}

// NewStream returns a source that has not dialled.
func NewStream(who, address string, dial Dial, inbox pilot.Inbox, silence time.Duration, log *zap.Logger) *Stream {
	return &Stream{name: who, address: address, dial: dial, inbox: inbox, log: log, silence: silence,
		asks: make(chan wire.ListAsk, 16)}
}

// Watch subscribes to changes. A source that streams is watched from the start; what it repeats costs it little.
func (s *Stream) Watch(on bool) { s.ask(wire.ListAsk{Who: s.name, Watch: on}) }

// Fetch asks for the whole list once.
func (s *Stream) Fetch() { s.ask(wire.ListAsk{Who: s.name, Watch: true, Whole: true}) }

func (s *Stream) ask(a wire.ListAsk) {
	select {
	case s.asks <- a:
	default: // so many calls wait already that this one changes nothing
	}
}

// Run follows the source until ctx ends.
func (s *Stream) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = 100*time.Millisecond, 2*time.Second
	for ctx.Err() == nil {
		began := time.Now()
		err := s.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		s.log.Warn("endpoint list lost", zap.String("source", s.address), zap.Error(err))
		if err := s.inbox.Post(ctx, pilot.ListLost{}); err != nil {
			return nil
		}
		if time.Since(began) > 5*time.Second {
			wait.Reset()
		}
		t := time.NewTimer(wait.NextBackOff())
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
	return nil
}

// follow holds one connection. It returns why that ended.
func (s *Stream) follow(ctx context.Context) error {
	conn, err := s.dial(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("dial list: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	done := make(chan error, 1)
	go func() { done <- s.writeAsks(ctx, conn) }()
	err = s.readAll(ctx, conn)
	cancel()
	return errors.Join(err, <-done)
}

// writeAsks sends what the runtime asks for, the first question at once.
func (s *Stream) writeAsks(ctx context.Context, conn net.Conn) error {
	w := wire.NewWriter(conn)
	a := wire.ListAsk{Who: s.name, Watch: true, Whole: true}
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(s.silence)); err != nil {
			return nil // closed: readAll tells why
		}
		if _, err := w.Write(&a); err != nil {
			return fmt.Errorf("ask list: %w", err)
		}
		select {
		case a = <-s.asks:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Stream) readAll(ctx context.Context, conn net.Conn) error {
	r := wire.NewReader(conn, 0)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(s.silence)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		m, err := r.Read()
		if err != nil {
			return fmt.Errorf("read list: %w", err)
		}
		switch m := m.(type) {
		case *wire.Beat:
		case *wire.List:
			if err := s.inbox.Post(ctx, pilot.Listed{List: m}); err != nil {
				return err
			}
		case *wire.Slices:
			if err := s.inbox.Post(ctx, pilot.SliceGiven{Slices: m}); err != nil {
				return err
			}
		default:
			return fmt.Errorf("%T from a list source: %w", m, wire.ErrType)
		}
	}
}
