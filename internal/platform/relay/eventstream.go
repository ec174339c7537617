package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
)

// SubscriptionCount is the number of redundant event subscriptions. While one is disconnected, the other delivers the
// events.
const SubscriptionCount = 2

// Limits of a subscription's connection.
const (
	// silenceTimeout is the time without data after which a subscription is closed. The relay sends a keepalive every
	// second.
	silenceTimeout = 2500 * time.Millisecond
	// redialDelay is the pause before a closed subscription is reopened.
	redialDelay = 30 * time.Millisecond
	// maxEventBytes is the maximum length of a line of the stream, in bytes.
	maxEventBytes = 1 << 16
	// connBufferBytes and lineBufferBytes are the size of the connection's read buffer and the initial size of the line
	// buffer.
	connBufferBytes = 16384
	lineBufferBytes = 4096
)

// EventStream receives the relay's events on redundant subscriptions and merges them into one sequence without
// duplicates. After a gap, in which no subscription received events, it infers the missed events from the next
// snapshot.
type EventStream struct {
	Counters *Counters

	inbox controller.Inbox
	log   *zap.Logger
	now   func() time.Time // the clock by which gaps are detected

	// mu guards the fields below. It is held while an input is posted, so that the inbox receives the inputs in the order
	// in which the events were applied.
	mu            sync.Mutex
	address       string                  // address of the relay for new connections
	proxies       map[int]*connectedProxy // connected proxies, by number
	leftAt        map[int]time.Time       // when the "left" event of a proxy was handled that is not connected since
	subscriptions [SubscriptionCount]subscription
	completeUntil time.Time // all events up to this time were received; zero before the first subscription ends
}

// NewEventStream returns an event stream from the relay at address. It does not connect before Run is called.
func NewEventStream(address string, inbox controller.Inbox, c *Counters, log *zap.Logger) *EventStream {
	return &EventStream{
		Counters: c, inbox: inbox, log: log, now: time.Now, address: address,
		proxies: map[int]*connectedProxy{}, leftAt: map[int]time.Time{},
	}
}

// SetAddress changes the relay's address. The first subscription reconnects immediately. The second one reconnects
// after the first has received its snapshot at the new address (cancelAtOldAddress), so that there is no gap in the
// events.
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

// Run keeps subscription i open until ctx is cancelled, and returns nil. It must be called once for each subscription,
// with i from 0 to SubscriptionCount-1.
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

// subscribe opens subscription i at the current address, receives events until it ends, and returns the reason.
func (s *EventStream) subscribe(ctx context.Context, i int) error {
	connCtx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	address := s.address
	s.subscriptions[i].cancel = cancel
	s.subscriptions[i].address = address
	s.mu.Unlock()
	err := s.receive(connCtx, ctx, address, i)
	cancel()
	s.unsubscribed(i)
	return err
}

// receive connects to the relay, requests the event stream and handles events until the connection ends or ctx is
// cancelled. Inputs are posted with postCtx, because an event that has been received must be posted even if ctx is
// cancelled meanwhile: it is recorded as handled, so the other subscription does not post it.
func (s *EventStream) receive(ctx, postCtx context.Context, address string, i int) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	defer func() { _ = conn.Close() }() // no more data is needed from it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response, err := requestEvents(conn, address)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // fully read, or the connection is closed next
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request events: response status %d", response.StatusCode)
	}
	s.subscribed(i)
	defer s.awaitSnapshot(ctx, postCtx, i)()
	return s.readLines(postCtx, i, conn, response)
}

// requestEvents sends the request for the event stream and reads the head of the response.
func requestEvents(conn net.Conn, address string) (*http.Response, error) {
	if err := conn.SetDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write([]byte("GET /v1/events HTTP/1.1\r\nHost: " + address + "\r\n\r\n")); err != nil {
		return nil, fmt.Errorf("request events: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, connBufferBytes), nil)
	if err != nil {
		return nil, fmt.Errorf("read response to event request: %w", err)
	}
	return response, nil
}

// readLines reads events and handles them, and posts inputs with ctx. It always returns an error, because the stream has no regular end.
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
	return errors.New("relay ended the event stream")
}
