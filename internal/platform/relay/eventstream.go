package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
)

// Subscriptions is how many connections carry the events: while one breaks the other goes on.
const Subscriptions = 2

// Figures of events.
const (
	silenceTimeout      = 2500 * time.Millisecond // a sign of life comes every second; a stream silent for longer is dead
	liveWithin          = 1300 * time.Millisecond // a stream that said something since then lives
	snapshotQuietPeriod = 200 * time.Millisecond  // a stream that tells of no proxy for so long has told what stands
	maxShortGap         = 300 * time.Millisecond  // a proxy takes longer than that to come back on a new stream
	redialDelay         = 30 * time.Millisecond
	maxEventBytes       = 1 << 16
	rememberedAcks      = 8 // answers to marks remembered of each proxy
)

// Events reads the relay's event streams on two connections and makes one sequence of them: what one of them has told already the
// other tells in vain. Only where both were broken is anything inferred from what stands at the next opening.
type Events struct {
	Counters      *Counters
	inbox         pilot.Inbox
	log           *zap.Logger
	mu            sync.Mutex
	address       string
	members       map[int]*member
	subscriptions [Subscriptions]subscription
	completeUntil time.Time // until when the events are known to be whole; zero: nothing has been told
}

// NewEvents returns a reader of a relay's events.
func NewEvents(address string, inbox pilot.Inbox, c *Counters, log *zap.Logger) *Events {
	return &Events{Counters: c, inbox: inbox, log: log, address: address, members: map[int]*member{}}
}

// Move has the streams go to another address, one after another: the second leaves when the first stands there.
func (s *Events) Move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return
	}
	s.address = address
	if cut := s.subscriptions[0].cancel; cut != nil {
		cut()
	}
}

// Run reads one of the streams until ctx ends; there is one call for each.
func (s *Events) Run(ctx context.Context, i int) error {
	for ctx.Err() == nil {
		cctx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		address := s.address
		s.subscriptions[i].cancel, s.subscriptions[i].address = cancel, address
		s.mu.Unlock()
		err := s.receive(cctx, address, i)
		cancel()
		s.unsubscribed(i, errors.Is(err, os.ErrDeadlineExceeded))
		if ctx.Err() == nil {
			s.log.Debug("event stream ended", zap.Int("stream", i), zap.Error(err))
			pause.For(ctx, redialDelay)
		}
	}
	return nil
}

// receive opens a stream and reads it to its end.
func (s *Events) receive(ctx context.Context, address string, i int) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write([]byte("GET /v1/events HTTP/1.1\r\nHost: " + address + "\r\n\r\n")); err != nil {
		return fmt.Errorf("ask for events: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16384), nil)
	if err != nil {
		return fmt.Errorf("read events: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read events: status %d", resp.StatusCode)
	}
	s.subscribed(i)
	octx, over := context.WithCancel(ctx)
	var opening sync.WaitGroup
	opening.Go(func() {
		for wait := snapshotQuietPeriod; wait > 0; wait = s.snapshotRemaining(i) {
			if !pause.For(octx, wait) {
				return
			}
		}
		s.endSnapshot(ctx, i)
	})
	defer opening.Wait()
	defer over()
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		if err := conn.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		if err := s.handleLine(ctx, i, scanner.Bytes()); err != nil {
			return err
		}
	}
	if scanner.Err() != nil {
		return fmt.Errorf("read events: %w", scanner.Err())
	}
	return errors.New("event stream ended")
}
