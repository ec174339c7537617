package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	expbackoff "github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

const (
	// minRetryInterval and maxRetryInterval are the limits of the exponential backoff between attempts to reconnect.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// stableAfter is how long a connection must last before the backoff is reset.
	stableAfter = 5 * time.Second
	// maxQueuedRequests is the largest number of queued requests. Further ones are dropped.
	maxQueuedRequests = 16
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Stream follows a list source over the framed protocol. The source sends the complete list first and then changes.
// When the connection is lost, Stream posts controller.EndpointListLost and reconnects, after which the source sends a
// complete list again.
type Stream struct {
	name           string // of this pilot
	address        string
	dial           Dial
	inbox          controller.Inbox
	log            *zap.Logger
	silenceTimeout time.Duration // time without a message after which the source counts as lost
	requests       chan wire.ListRequest
}

// NewStream returns a source that posts the list to inbox. pilot is the name of this pilot. The source counts as lost
// if no message arrives for silenceTimeout. Run must be called to connect.
func NewStream(pilot, address string, dial Dial, inbox controller.Inbox, silenceTimeout time.Duration, log *zap.Logger) *Stream {
	return &Stream{
		name:           pilot,
		address:        address,
		dial:           dial,
		inbox:          inbox,
		log:            log,
		silenceTimeout: silenceTimeout,
		requests:       make(chan wire.ListRequest, maxQueuedRequests),
	}
}

// Watch starts or ends the subscription to changes. Run subscribes whenever it connects.
func (s *Stream) Watch(on bool) { s.enqueue(wire.ListRequest{Pilot: s.name, Watch: on}) }

// Fetch requests the complete list once. It also starts the subscription to changes.
func (s *Stream) Fetch() { s.enqueue(wire.ListRequest{Pilot: s.name, Watch: true, Whole: true}) }

// enqueue queues a request. If the queue is full, the request is dropped.
func (s *Stream) enqueue(a wire.ListRequest) {
	select {
	case s.requests <- a:
	default:
	}
}

// Run follows the source until ctx is cancelled. The error is always nil.
func (s *Stream) Run(ctx context.Context) error {
	retry := expbackoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for ctx.Err() == nil {
		start := time.Now()
		err := s.follow(ctx)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // cancellation is not a failure
		}
		s.log.Warn("endpoint list source lost", zap.String("source", s.address), zap.Error(err))
		if !post(ctx, s.inbox, controller.EndpointListLost{}) {
			return nil
		}
		if time.Since(start) > stableAfter {
			retry.Reset()
		}
		backoff.Sleep(ctx, retry.NextBackOff())
	}
	return nil
}

// post posts an input to the inbox. It returns false if ctx was cancelled before the inbox accepted the input.
func post(ctx context.Context, inbox controller.Inbox, in controller.Input) bool {
	return inbox.Post(ctx, in) == nil
}

// follow connects to the source, serves the connection and returns the error that ended it. It reads in the calling
// goroutine, writes in a second one, and waits for the second one before it returns.
func (s *Stream) follow(ctx context.Context) error {
	conn, err := s.dial(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("dial endpoint list source: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = conn.Close() } // nothing remains to be written
	defer closeConn()
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	written := make(chan error, 1)
	go func() { written <- s.writeRequests(ctx, conn) }()
	err = s.readAll(ctx, conn)
	cancel()
	return errors.Join(err, <-written)
}

// writeRequests requests the complete list and then writes queued requests until ctx is cancelled or writing fails.
func (s *Stream) writeRequests(ctx context.Context, conn net.Conn) error {
	w := wire.NewWriter(conn)
	request := wire.ListRequest{Pilot: s.name, Watch: true, Whole: true}
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(s.silenceTimeout)); err != nil {
			return nil //nolint:nilerr // the connection is closed, and readAll returns the reason
		}
		if _, err := w.Write(&request); err != nil {
			return fmt.Errorf("request endpoint list: %w", err)
		}
		select {
		case request = <-s.requests:
		case <-ctx.Done():
			return nil
		}
	}
}

// readAll reads and handles messages until the connection ends or no message arrives for silenceTimeout.
func (s *Stream) readAll(ctx context.Context, conn net.Conn) error {
	r := wire.NewReader(conn, 0)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(s.silenceTimeout)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		m, err := r.Read()
		if err != nil {
			return fmt.Errorf("read endpoint list: %w", err)
		}
		if err := s.receive(ctx, m); err != nil {
			return err
		}
	}
}

// receive posts one message of the source to the inbox. Heartbeats are ignored; other types are an error.
func (s *Stream) receive(ctx context.Context, m wire.Message) error {
	switch m := m.(type) {
	case *wire.Heartbeat:
		return nil
	case *wire.List:
		return s.inbox.Post(ctx, controller.EndpointsListed{List: m})
	case *wire.Slices:
		return s.inbox.Post(ctx, controller.SliceAssigned{Slices: m})
	}
	return fmt.Errorf("%T from a list source: %w", m, wire.ErrType)
}
