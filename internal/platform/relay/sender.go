// Package relay speaks with the platform's relay, which holds the proxies' streams: what one turn of the module orders
// goes out as one call, in order, and events of the proxies come in. The relay queues and paces; this package does so
// only while a call is under way or the relay is out of reach. It decides nothing about routing.
package relay

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/brain"
	"indigousher/internal/pilot"
)

// Figures of calls.
const (
	maxCallBytes      = 59000                  // bytes of orders in a call; the relay takes 60,000
	answerTimeout     = 300 * time.Millisecond // for an answer: 50 ms, and a margin for a loaded machine
	dialTimeout       = 400 * time.Millisecond
	maxIdle           = 300 * time.Millisecond // a connection that stood longer may be being closed: not used again
	minBackoff        = 20 * time.Millisecond  // after a call that failed; doubled up to the most
	maxBackoff        = 320 * time.Millisecond
	notStartedBackoff = 100 * time.Millisecond // after the relay said that the run has not begun
	maxAnswerBytes    = 1 << 16
	maxRejections     = 3 // times that a call may be refused before it is dropped
)

// Orders sends orders.
type Orders struct {
	Counters    *Counters
	inbox       pilot.Inbox
	classNames  []string
	log         *zap.Logger
	mu          sync.Mutex
	address     string
	queue       [][]command // calls to make, oldest first
	departed    []int       // proxies that have left since the call under way was taken out
	wake        chan struct{}
	conn        net.Conn // of the worker
	connAddress string
	reader      *bufio.Reader
	lastUsed    time.Time
	rejections  int
}

// NewOrders returns the way out to a relay; kinds are the req kinds' names in order.
func NewOrders(address string, kinds []string, inbox pilot.Inbox, c *Counters, log *zap.Logger) *Orders {
	return &Orders{Counters: c, inbox: inbox, classNames: kinds, log: log, address: address, wake: make(chan struct{}, 1)}
}

// Carry queues what one turn ordered as one call.
func (s *Orders) Carry(turn []brain.Order, endpoint func(i int) string) {
	var commands []command
	for _, o := range turn {
		if p, ok := encode(o, endpoint, s.classNames); ok {
			commands = append(commands, p)
		}
	}
	s.Counters.Enqueued.Add(int64(len(commands)))
	s.mu.Lock()
	s.queue = append(s.queue, splitCalls(commands)...)
	if len(s.queue) > maxQueuedCalls {
		s.mergeAll()
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Move has calls go to another address.
func (s *Orders) Move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
}

// Run makes calls until ctx ends. After one that failed an empty call, which costs the proxies nothing, finds out whether
// the relay answers: so a call is uncertain once in an outage, however long it is, and its orders cross twice at most.
func (s *Orders) Run(ctx context.Context) error {
	defer s.closeConnection()
	out := outage{backoff: minBackoff}
	for ctx.Err() == nil {
		if out.active() && !s.probe(ctx, &out) {
			continue
		}
		call, address := s.dequeue(out.active())
		if call == nil {
			s.endOutage(ctx, &out, nil)
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		s.reportMerged(ctx, &out, call)
		taken, err := s.send(ctx, address, call)
		if err != nil {
			s.callFailed(ctx, &out, began, call, err)
			continue
		}
		s.endOutage(ctx, &out, call)
		s.callAnswered(call, taken)
	}
	return nil
}

// reportMerged tells the module which of its orders go out as one call. It has to know before a proxy can answer.
func (s *Orders) reportMerged(ctx context.Context, out *outage, call []command) {
	joined := ackNumbers(call)
	if len(joined) < 2 {
		return
	}
	in := pilot.RelayStalled{Joined: joined}
	if out.active() {
		in.ForMs = out.unreportedMs()
	}
	_ = s.inbox.Post(ctx, in) // fails only when all ends
}

// send makes one call and returns how many orders were taken.
func (s *Orders) send(ctx context.Context, address string, call []command) (taken int, err error) {
	s.Counters.Calls.Add(1)
	body, last, err := s.roundTrip(ctx, address, call)
	if err != nil {
		return 0, err
	}
	taken, err = parseAnswer(body, len(call))
	if last && err == nil {
		s.closeConnection()
	}
	return taken, err
}

// callAnswered counts what the relay took. The order it halted at is tried once more, in case the answer was wrong, and dropped
// then; nothing of a halted order is written, so that trying costs the proxies nothing.
func (s *Orders) callAnswered(call []command, taken int) {
	s.rejections = 0
	s.Counters.Executed.Add(int64(taken))
	if taken == len(call) {
		return
	}
	rest := slices.Clone(call[taken:])
	if rest[0].halted {
		s.log.Warn("order dropped: the relay halts at it", zap.ByteString("order", rest[0].encoded))
		s.Counters.Dropped.Add(1)
		rest = rest[1:]
	} else {
		rest[0].halted = true
	}
	if len(rest) > 0 {
		s.requeue(rest, false)
	}
}
