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

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
)

// SubscriptionCount is the number of redundant connections: while one is broken the other delivers the events.
const SubscriptionCount = 2

// Limits of the connection of a subscription.
const (
	// silenceTimeout ends a subscription without data. The relay sends a keepalive every second.
	silenceTimeout = 2500 * time.Millisecond
	// redialDelay is the pause before a subscription is reopened.
	redialDelay = 30 * time.Millisecond
	// maxEventBytes bounds a line of the stream.
	maxEventBytes = 1 << 16
	// connBufferBytes and lineBufferBytes are the initial sizes of the read buffers of the connection and of a line.
	connBufferBytes = 16384
	lineBufferBytes = 4096
)

// EventStream receives the relay's events on two subscriptions and merges them into one sequence without duplicates.
// Only after a gap, in which neither was connected, does it infer events from the next snapshot.
type EventStream struct {
	Counters *Counters

	inbox controller.Inbox
	log   *zap.Logger

	// mu guards the fields below. It is held while an event is posted, so that events reach the inbox in the order in
	// which they were applied here.
	mu            sync.Mutex
	address       string
	proxies       map[int]*connectedProxy // connected proxies, by number
	subscriptions [SubscriptionCount]subscription
	completeUntil time.Time // all events up to then were received; zero if none was yet
}

// NewEventStream returns a receiver of the events of the relay at address. It receives nothing before Run.
func NewEventStream(address string, inbox controller.Inbox, c *Counters, log *zap.Logger) *EventStream {
	return &EventStream{Counters: c, inbox: inbox, log: log, address: address, proxies: map[int]*connectedProxy{}}
}

// SetAddress changes the relay's address. The first subscription moves at once, the second after the first has
// received its snapshot at the new address (endSnapshot), so that no gap arises.
func (s *EventStream) SetAddress(address string) {
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

// Run keeps subscription i open until ctx ends. It is called once for each subscription.
func (s *EventStream) Run(ctx context.Context, i int) error {
	for ctx.Err() == nil {
		err := s.subscribe(ctx, i)
		if ctx.Err() == nil {
			s.log.Debug("event stream ended", zap.Int("stream", i), zap.Error(err))
			backoff.Sleep(ctx, redialDelay)
		}
	}
	return nil
}

// subscribe opens a subscription at the current address, receives its events and returns why it ended.
func (s *EventStream) subscribe(ctx context.Context, i int) error {
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

// receive connects to the relay, requests the events and handles them until the connection or ctx ends.
func (s *EventStream) receive(ctx context.Context, address string, i int) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	defer func() { _ = conn.Close() }() // its data is not needed any more
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response, err := requestEvents(conn, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it has been read, or the connection is closed next
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read events: status %d", response.StatusCode)
	}
	s.subscribed(i)
	defer s.awaitSnapshot(ctx, i)()
	return s.readLines(ctx, i, conn, response)
}

// requestEvents requests the events and reads the head of the response.
func requestEvents(conn net.Conn, address string) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write([]byte("GET /v1/events HTTP/1.1\r\nHost: " + address + "\r\n\r\n")); err != nil {
		return nil, fmt.Errorf("ask for events: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, connBufferBytes), nil)
	if err != nil {
		return nil, fmt.Errorf("read events: %w", err)
	}
	return response, nil
}

// readLines handles one event after another. It always returns an error, because the stream has no regular end.
func (s *EventStream) readLines(ctx context.Context, i int, conn net.Conn, response *http.Response) error {
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
