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
	mostCall   = 59000                  // bytes of orders in a call; the relay takes 60,000
	patience   = 300 * time.Millisecond // for an answer: 50 ms, and a margin for a loaded machine
	dialWithin = 400 * time.Millisecond
	idleMost   = 300 * time.Millisecond // a connection that stood longer may be being closed: not used again
	pauseLeast = 20 * time.Millisecond  // after a call that failed; doubled up to the most
	pauseMost  = 320 * time.Millisecond
	limitPause = 100 * time.Millisecond // after the relay said that the run has not begun
	mostBody   = 1 << 16
	mostRefuse = 3 // times that a call may be refused before it is dropped
)

// Orders sends orders.
type Orders struct {
	Counters *Counters
	inbox    pilot.Inbox
	kinds    []string
	log      *zap.Logger
	mu       sync.Mutex
	address  string
	queue    [][]op // calls to make, oldest first
	left     []int  // proxies that have left since the call under way was taken out
	wake     chan struct{}
	conn     net.Conn // of the worker
	to       string
	reader   *bufio.Reader
	used     time.Time
	refused  int
}

// NewOrders returns the way out to a relay; kinds are the req kinds' names in order.
func NewOrders(address string, kinds []string, inbox pilot.Inbox, c *Counters, log *zap.Logger) *Orders {
	return &Orders{Counters: c, inbox: inbox, kinds: kinds, log: log, address: address, wake: make(chan struct{}, 1)}
}

// Carry queues what one turn ordered as one call.
func (r *Orders) Carry(turn []brain.Order, endpoint func(i int) string) {
	var ops []op
	for _, o := range turn {
		if p, ok := layOut(o, endpoint, r.kinds); ok {
			ops = append(ops, p)
		}
	}
	r.Counters.Made.Add(int64(len(ops)))
	r.mu.Lock()
	r.queue = append(r.queue, split(ops)...)
	if len(r.queue) > mostQueue {
		r.join()
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Move has calls go to another address.
func (r *Orders) Move(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = address
}

// Run makes calls until ctx ends. After one that failed an empty call, which costs the proxies nothing, finds out whether
// the relay answers: so a call is uncertain once in an outage, however long it is, and its orders cross twice at most.
func (r *Orders) Run(ctx context.Context) error {
	defer r.hangUp()
	out := outage{pause: pauseLeast}
	for ctx.Err() == nil {
		if out.lasts() && !r.reached(ctx, &out) {
			continue
		}
		call, address := r.next(out.lasts())
		if call == nil {
			r.over(ctx, &out, nil)
			select {
			case <-r.wake:
			case <-ctx.Done():
			}
			continue
		}
		began := time.Now()
		r.tellJoined(ctx, &out, call)
		taken, err := r.call(ctx, address, call)
		if err != nil {
			r.failed(ctx, &out, began, call, err)
			continue
		}
		r.over(ctx, &out, call)
		r.took(call, taken)
	}
	return nil
}

// tellJoined tells the module which of its orders go out as one call. It has to know before a proxy can answer.
func (r *Orders) tellJoined(ctx context.Context, out *outage, call []op) {
	joined := marks(call)
	if len(joined) < 2 {
		return
	}
	in := pilot.RelayStalled{Joined: joined}
	if out.lasts() {
		in.ForMs = out.lasted()
	}
	_ = r.inbox.Post(ctx, in) // fails only when all ends
}

// call makes one call and returns how many orders were taken.
func (r *Orders) call(ctx context.Context, address string, call []op) (taken int, err error) {
	r.Counters.Calls.Add(1)
	body, last, err := r.exchange(ctx, address, call)
	if err != nil {
		return 0, err
	}
	taken, err = parse(body, len(call))
	if last && err == nil {
		r.hangUp()
	}
	return taken, err
}

// took counts what the relay took. The order it halted at is tried once more, in case the answer was wrong, and dropped
// then; nothing of a halted order is written, so that trying costs the proxies nothing.
func (r *Orders) took(call []op, taken int) {
	r.refused = 0
	r.Counters.Taken.Add(int64(taken))
	if taken == len(call) {
		return
	}
	rest := slices.Clone(call[taken:])
	if rest[0].tried {
		r.log.Warn("order dropped: the relay halts at it", zap.ByteString("order", rest[0].text))
		r.Counters.Dropped.Add(1)
		rest = rest[1:]
	} else {
		rest[0].tried = true
	}
	if len(rest) > 0 {
		r.back(rest, false)
	}
}
