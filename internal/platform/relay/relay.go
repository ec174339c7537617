// Package relay speaks with the platform's relay, which holds the proxies' streams: what one turn of the module orders
// goes out as one call, in order, and events of the proxies come in. The relay queues and paces; this package does so
// only while a call is under way or the relay is out of reach. It decides nothing about routing.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"indigousher/brain"
	"indigousher/internal/pause"
	"indigousher/internal/pilot"
	"indigousher/internal/platform/peek"
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

// How a call ended.
var (
	errNotSent   = errors.New("not carried out")
	errUncertain = errors.New("carried out or not")
	errLimit     = errors.New("the run has not begun")
	errRefused   = errors.New("refused")
)

// Counters of orders, for the pilot's book-keeping.
type Counters struct {
	Made, Taken, Outdated, Dropped, Uncertain, Calls, Failed atomic.Int64
	Events, Gaps                                             atomic.Int64
}

// dialer opens connections to the relay.
var dialer = net.Dialer{Timeout: dialWithin}

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

// mostQueue bounds the calls that wait; beyond it what is outdated goes at once.
const mostQueue = 64

// Gone drops what waits for a proxy that has left.
func (r *Orders) Gone(proxy int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = append(r.left, proxy)
	for i, call := range r.queue {
		r.queue[i] = r.without(call, proxy)
	}
}

// without drops what names one of some proxies.
func (r *Orders) without(call []op, proxies ...int) []op {
	kept := slices.DeleteFunc(slices.Clone(call), func(o op) bool { return slices.Contains(proxies, o.proxy) })
	r.Counters.Outdated.Add(int64(len(call) - len(kept)))
	return kept
}

// Move has calls go to another address.
func (r *Orders) Move(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = address
}

// split cuts orders into calls of bounded size.
func split(ops []op) (calls [][]op) {
	from, size := 0, 0
	for i, o := range ops {
		if size += len(o.text) + 1; size > mostCall {
			calls = append(calls, ops[from:i:i])
			from, size = i, len(o.text)+1
		}
	}
	if from < len(ops) {
		calls = append(calls, ops[from:])
	}
	return calls
}

// join makes one sequence of all that waits, without what is outdated. It is done after a call that failed, so that
// what is said again never overtakes anything newer, and says no more than it must.
func (r *Orders) join() {
	all := slices.Concat(r.queue...)
	kept := fresh(all)
	r.Counters.Outdated.Add(int64(len(all) - len(kept)))
	r.queue = split(kept)
}

// next takes the oldest call out.
func (r *Orders) next() (call []op, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = r.left[:0]
	for len(r.queue) > 0 {
		call, r.queue = r.queue[0], r.queue[1:]
		if len(call) > 0 {
			return call, r.address
		}
	}
	return nil, ""
}

// waiting returns how many calls wait.
func (r *Orders) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue)
}

// back puts a call, or what is left of it, before all others.
func (r *Orders) back(call []op, joined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append([][]op{r.without(call, r.left...)}, r.queue...)
	if joined {
		r.join()
	}
}

// Run makes calls until ctx ends.
func (r *Orders) Run(ctx context.Context) error {
	defer r.hangUp()
	next, stalled := pauseLeast, false
	var since time.Time  // the call under way began, or the stall was last told
	var failed time.Time // the first call of those that failed in a row began
	tries := 0
	for ctx.Err() == nil {
		call, address := r.next()
		if call == nil {
			select {
			case <-r.wake:
			case <-ctx.Done():
			}
			continue
		}
		if !stalled {
			since, tries = time.Now(), 0
			failed = since
		}
		tries++
		taken, err := r.call(ctx, address, call)
		if err == nil {
			if stalled {
				r.log.Info("relay takes calls again", zap.Duration("after", time.Since(failed)), zap.Int("tries", tries),
					zap.Int("orders", len(call)), zap.Int("taken", taken), zap.Int("calls waiting", r.waiting()))
				_ = r.inbox.Post(ctx, pilot.RelayStalled{}) // fails only when all ends
			}
			next, stalled = pauseLeast, false
			r.took(call, taken)
			continue
		}
		r.Counters.Failed.Add(1)
		r.hangUp()
		wait := next
		next = min(2*next, pauseMost)
		switch {
		case errors.Is(err, errLimit):
			wait, next = limitPause, pauseLeast
		case errors.Is(err, errUncertain):
			r.Counters.Uncertain.Add(int64(len(call)))
			r.log.Warn("call uncertain, said again", zap.Int("orders", len(call)), zap.Error(err))
		case errors.Is(err, errRefused):
			if r.refused++; r.refused >= mostRefuse {
				r.log.Error("call dropped", zap.Int("orders", len(call)), zap.Error(err))
				r.Counters.Dropped.Add(int64(len(call)))
				r.refused, call = 0, nil
			}
		default:
			r.log.Warn("call failed", zap.Int("orders", len(call)), zap.Error(err))
		}
		_ = r.inbox.Post(ctx, stall(time.Since(since), call, err))
		since, stalled = time.Now(), true
		r.back(call, true)
		pause.For(ctx, wait)
	}
	return nil
}

// stall says that the relay has taken nothing for a while, and what may reach the proxies twice. Lines that wait here
// have not left: were they taken for gone, all that was ordered meanwhile would overfill the relay's channel at once.
func stall(lasted time.Duration, call []op, err error) pilot.RelayStalled {
	in := pilot.RelayStalled{ForMs: max(1, float64(lasted)/float64(time.Millisecond))}
	if errors.Is(err, errUncertain) {
		for _, o := range call {
			in.Again = append(in.Again, o.marks...)
		}
	}
	return in
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

func (r *Orders) hangUp() {
	if r.conn != nil {
		_ = r.conn.Close()
		r.conn = nil
	}
}

// call makes one call and returns how many orders were taken.
func (r *Orders) call(ctx context.Context, address string, call []op) (taken int, err error) {
	r.Counters.Calls.Add(1)
	if r.conn != nil && (r.to != address || time.Since(r.used) > idleMost || peek.At(r.conn) != peek.Quiet) {
		r.hangUp()
	}
	if r.conn == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return 0, fmt.Errorf("%w: dial relay: %w", errNotSent, err)
		}
		r.conn, r.to, r.reader = conn, address, bufio.NewReaderSize(conn, 1024)
	}
	if err := r.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return 0, fmt.Errorf("%w: set deadline: %w", errNotSent, err)
	}
	if _, err := r.conn.Write(request(address, call)); err != nil { // the last byte has not left
		return 0, fmt.Errorf("%w: write call: %w", errNotSent, err)
	}
	taken, err = r.answer(len(call))
	r.used = time.Now()
	return taken, err
}

// request lays a call out.
func request(host string, call []op) []byte {
	var body bytes.Buffer
	body.WriteString(`{"ops":[`)
	for i, o := range call {
		if i > 0 {
			body.WriteByte(',')
		}
		body.Write(o.text)
	}
	body.WriteString("]}")
	head := "POST /v1/orders HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nContent-Length: " +
		strconv.Itoa(body.Len()) + "\r\n\r\n"
	return append([]byte(head), body.Bytes()...)
}

// answer reads what the relay says of a call. Whatever can't be read or can't be leaves it uncertain.
func (r *Orders) answer(orders int) (taken int, err error) {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return 0, fmt.Errorf("%w: read answer: %w", errUncertain, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return 0, fmt.Errorf("%w: read answer: %w", errUncertain, err)
	}
	var a struct {
		Count *int    `json:"ok_count"`
		Error *string `json:"error"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("%w: unreadable answer: %w", errUncertain, err)
	}
	switch {
	case a.Error != nil && *a.Error == "limit":
		return 0, errLimit
	case a.Error != nil:
		return 0, fmt.Errorf("%w: %.80q", errRefused, *a.Error)
	case a.Count == nil || *a.Count < 0 || *a.Count > orders:
		return 0, fmt.Errorf("%w: no possible count in the answer", errUncertain)
	}
	if resp.Close {
		r.hangUp()
	}
	return *a.Count, nil
}
