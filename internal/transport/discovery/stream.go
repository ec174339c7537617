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
	// minRetryInterval and maxRetryInterval bound the backoff between attempts to reconnect.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	// stableAfter is how long a connection must have lasted for the backoff to start over.
	stableAfter = 5 * time.Second
	// maxQueuedAsks is the number of requests that may be queued; further ones would add nothing.
	maxQueuedRequests = 16
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Stream follows a list source over the framed protocol. The source sends the complete list first and then changes.
// When the connection breaks, Stream reports the loss to the controller and reconnects, upon which a complete list
// follows.
type Stream struct {
	name           string // of this controller
	address        string
	dial           Dial
	inbox          controller.Inbox
	log            *zap.Logger
	silenceTimeout time.Duration // time without a message after which the source is lost
	requests       chan wire.ListRequest
}

// NewStream returns a source that is not connected yet; who is this controller's name.
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

// Watch requests or ends the subscription to changes. A source is subscribed to from the start.
func (s *Stream) Watch(on bool) { s.enqueue(wire.ListRequest{Pilot: s.name, Watch: on}) }

// Fetch requests the complete list once.
func (s *Stream) Fetch() { s.enqueue(wire.ListRequest{Pilot: s.name, Watch: true, Whole: true}) }

// ask queues a request, or drops it if the queue is full.
func (s *Stream) enqueue(a wire.ListRequest) {
	select {
	case s.requests <- a:
	default:
	}
}

// Run follows the source until ctx ends.
func (s *Stream) Run(ctx context.Context) error {
	retry := expbackoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for ctx.Err() == nil {
		start := time.Now()
		err := s.follow(ctx)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // the end of ctx is not a failure
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

// post posts an input to the controller and reports whether it was accepted, which it is unless ctx ends.
func post(ctx context.Context, inbox controller.Inbox, in controller.Input) bool {
	return inbox.Post(ctx, in) == nil
}

// follow serves one connection and returns why it ended. It reads in this goroutine and writes in another, which it
// waits for.
func (s *Stream) follow(ctx context.Context) error {
	conn, err := s.dial(ctx, "tcp", s.address)
	if err != nil {
		return fmt.Errorf("dial list: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = conn.Close() } // nothing is left to write
	defer closeConn()
	stop := context.AfterFunc(ctx, closeConn)
	defer stop()
	written := make(chan error, 1)
	go func() { written <- s.writeRequests(ctx, conn) }()
	err = s.readAll(ctx, conn)
	cancel()
	return errors.Join(err, <-written)
}

// writeAsks requests the complete list, and then writes the controller's requests until ctx ends.
func (s *Stream) writeRequests(ctx context.Context, conn net.Conn) error {
	w := wire.NewWriter(conn)
	request := wire.ListRequest{Pilot: s.name, Watch: true, Whole: true}
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(s.silenceTimeout)); err != nil {
			return nil //nolint:nilerr // the connection is closed, and readAll returns why
		}
		if _, err := w.Write(&request); err != nil {
			return fmt.Errorf("ask list: %w", err)
		}
		select {
		case request = <-s.requests:
		case <-ctx.Done():
			return nil
		}
	}
}

// readAll reads messages until the connection ends or the source is silent for too long.
func (s *Stream) readAll(ctx context.Context, conn net.Conn) error {
	r := wire.NewReader(conn, 0)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(s.silenceTimeout)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		m, err := r.Read()
		if err != nil {
			return fmt.Errorf("read list: %w", err)
		}
		if err := s.receive(ctx, m); err != nil {
			return err
		}
	}
}

// receive handles one message of the source.
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
