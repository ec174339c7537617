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

// Streams is how many connections carry the events: while one breaks the other goes on.
const Streams = 2

// Figures of events.
const (
	silence   = 2500 * time.Millisecond // a sign of life comes every second; a stream silent for longer is dead
	freshFor  = 1300 * time.Millisecond // a stream that said something since then lives
	standsFor = 200 * time.Millisecond  // a stream that tells of no proxy for so long has told what stands
	gapMost   = 300 * time.Millisecond  // a proxy takes longer than that to come back on a new stream
	redial    = 30 * time.Millisecond
	mostEvent = 1 << 16
	mostMarks = 8 // answers to marks remembered of each proxy
)

// Events reads the relay's event streams on two connections and makes one sequence of them: what one of them has told already the
// other tells in vain. Only where both were broken is anything inferred from what stands at the next opening.
type Events struct {
	Counters *Counters
	inbox    pilot.Inbox
	log      *zap.Logger
	mu       sync.Mutex
	address  string
	members  map[int]*member
	streams  [Streams]stream
	covered  time.Time // until when the events are known to be whole; zero: nothing has been told
}

// NewEvents returns a reader of a relay's events.
func NewEvents(address string, inbox pilot.Inbox, c *Counters, log *zap.Logger) *Events {
	return &Events{Counters: c, inbox: inbox, log: log, address: address, members: map[int]*member{}}
}

// Move has the streams go to another address, one after another: the second leaves when the first stands there.
func (n *Events) Move(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.address == address {
		return
	}
	n.address = address
	if cut := n.streams[0].cut; cut != nil {
		cut()
	}
}

// Run reads one of the streams until ctx ends; there is one call for each.
func (n *Events) Run(ctx context.Context, i int) error {
	for ctx.Err() == nil {
		cctx, cancel := context.WithCancel(ctx)
		n.mu.Lock()
		address := n.address
		n.streams[i].cut, n.streams[i].address = cancel, address
		n.mu.Unlock()
		err := n.read(cctx, address, i)
		cancel()
		n.closed(i, errors.Is(err, os.ErrDeadlineExceeded))
		if ctx.Err() == nil {
			n.log.Debug("event stream ended", zap.Int("stream", i), zap.Error(err))
			pause.For(ctx, redial)
		}
	}
	return nil
}

// read opens a stream and reads it to its end.
func (n *Events) read(ctx context.Context, address string, i int) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(silence)); err != nil {
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
	n.opened(i)
	octx, over := context.WithCancel(ctx)
	var opening sync.WaitGroup
	opening.Go(func() {
		for wait := standsFor; wait > 0; wait = n.opening(i) {
			if !pause.For(octx, wait) {
				return
			}
		}
		n.stands(ctx, i)
	})
	defer opening.Wait()
	defer over()
	s := bufio.NewScanner(resp.Body)
	s.Buffer(make([]byte, 0, 4096), mostEvent)
	for s.Scan() {
		if err := conn.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		if err := n.take(ctx, i, s.Bytes()); err != nil {
			return err
		}
	}
	if s.Err() != nil {
		return fmt.Errorf("read events: %w", s.Err())
	}
	return errors.New("event stream ended")
}
