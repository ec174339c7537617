package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
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

// Limits of a subscription's connection.
const (
	// silenceTimeout ends a subscription: the relay sends a sign of life every second.
	silenceTimeout = 2500 * time.Millisecond
	// redialDelay is the pause before a subscription that has ended is opened anew.
	redialDelay = 30 * time.Millisecond
	// maxEventBytes bounds a line of the stream.
	maxEventBytes = 1 << 16
	// headBufferBytes and lineBufferBytes are the read buffers' sizes at the start, for the connection and for a line.
	headBufferBytes = 16384
	lineBufferBytes = 4096
)

// Events reads the relay's events on two subscriptions and makes one sequence of them: what one has told already the
// other tells in vain. Only where both were broken is anything inferred from the snapshot at the next opening.
type Events struct {
	Counters *Counters

	inbox pilot.Inbox
	log   *zap.Logger

	// mu guards what follows. It is held while an event is posted, so that events reach the inbox in the order in which
	// they were applied here.
	mu            sync.Mutex
	address       string
	members       map[int]*member // proxies that stand, by number
	subscriptions [Subscriptions]subscription
	completeUntil time.Time // up to when all events are known to have come; zero: nothing has been told yet
}

// NewEvents returns a reader of the events of the relay at an address. It reads nothing before Run.
func NewEvents(address string, inbox pilot.Inbox, c *Counters, log *zap.Logger) *Events {
	return &Events{Counters: c, inbox: inbox, log: log, address: address, members: map[int]*member{}}
}

// Move has the subscriptions go to another address, one after another: the first at once, the second when the first has
// told what stands there (endSnapshot).
func (s *Events) Move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address == address {
		return
	}
	s.address = address
	if cancel := s.subscriptions[0].cancel; cancel != nil {
		cancel()
	}
}

// Run keeps one subscription open until ctx ends; there is one call for each.
func (s *Events) Run(ctx context.Context, i int) error {
	for ctx.Err() == nil {
		err := s.subscribe(ctx, i)
		if ctx.Err() == nil {
			s.log.Debug("event stream ended", zap.Int("stream", i), zap.Error(err))
			pause.For(ctx, redialDelay)
		}
	}
	return nil
}

// subscribe opens a subscription at the present address and reads it to its end, which it returns.
func (s *Events) subscribe(ctx context.Context, i int) error {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	address := s.address
	s.subscriptions[i].cancel = cancel
	s.subscriptions[i].address = address
	s.mu.Unlock()
	err := s.receive(ctx, address, i)
	cancel()
	s.unsubscribed(i, errors.Is(err, os.ErrDeadlineExceeded))
	return err
}

// receive connects to the relay, asks for the events and takes them in until the connection or ctx ends.
func (s *Events) receive(ctx context.Context, address string, i int) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	defer func() { _ = conn.Close() }() // nothing on it is still wanted
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response, err := requestEvents(conn, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it is read to its end, or the connection is closed
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read events: status %d", response.StatusCode)
	}
	s.subscribed(i)
	defer s.awaitSnapshot(ctx, i)()
	return s.readLines(ctx, i, conn, response)
}

// requestEvents asks for the events and reads the head of the response.
func requestEvents(conn net.Conn, address string) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write([]byte("GET /v1/events HTTP/1.1\r\nHost: " + address + "\r\n\r\n")); err != nil {
		return nil, fmt.Errorf("ask for events: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, headBufferBytes), nil)
	if err != nil {
		return nil, fmt.Errorf("read events: %w", err)
	}
	return response, nil
}

// readLines takes in one event after another. It always returns an error, as the stream has no end of its own.
func (s *Events) readLines(ctx context.Context, i int, conn net.Conn, response *http.Response) error {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxEventBytes)
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
