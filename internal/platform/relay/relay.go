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

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/platform/connstate"
	"indigousher/planner"
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
	Made, Taken, Outdated, Dropped, Uncertain, Calls, Failed, Probes atomic.Int64
	Events, Gaps                                                     atomic.Int64
}

// dialer opens connections to the relay.
var dialer = net.Dialer{Timeout: dialWithin}

// Sender sends orders.
type Sender struct {
	Counters *Counters
	inbox    controller.Inbox
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

// NewSender returns the way out to a relay; kinds are the req kinds' names in order.
func NewSender(address string, kinds []string, inbox controller.Inbox, c *Counters, log *zap.Logger) *Sender {
	return &Sender{Counters: c, inbox: inbox, kinds: kinds, log: log, address: address, wake: make(chan struct{}, 1)}
}

// Enqueue queues what one turn ordered as one call.
func (r *Sender) Enqueue(turn []planner.Command, endpoint func(i int) string) {
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

// ProxyLeft drops what waits for a proxy that has left.
func (r *Sender) ProxyLeft(proxy int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = append(r.left, proxy)
	for i, call := range r.queue {
		r.queue[i] = r.without(call, proxy)
	}
}

// without drops what names one of some proxies.
func (r *Sender) without(call []op, proxies ...int) []op {
	kept := slices.DeleteFunc(slices.Clone(call), func(o op) bool { return slices.Contains(proxies, o.proxy) })
	r.Counters.Outdated.Add(int64(len(call) - len(kept)))
	return kept
}

// SetAddress has calls go to another address.
func (r *Sender) SetAddress(address string) {
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
func (r *Sender) join() {
	all := slices.Concat(r.queue...)
	kept := fresh(all)
	r.Counters.Outdated.Add(int64(len(all) - len(kept)))
	r.queue = split(kept)
}

// next takes the oldest call out; joined, one of all that waits.
func (r *Sender) next(joined bool) (call []op, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = r.left[:0]
	if joined {
		r.join()
	}
	for len(r.queue) > 0 {
		call, r.queue = r.queue[0], r.queue[1:]
		if len(call) > 0 {
			return call, r.address
		}
	}
	return nil, ""
}

// back puts a call, or what is left of it, before all others.
func (r *Sender) back(call []op, joined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append([][]op{r.without(call, r.left...)}, r.queue...)
	if joined {
		r.join()
	}
}

// outage is a time in which the relay takes no calls, from the first that failed.
type outage struct {
	since time.Time     // the first call that failed began
	told  time.Time     // until when the module has been told of it; zero: there is no outage
	tries int           // calls and probes that failed
	pause time.Duration // after the next failure
}

func (o *outage) lasts() bool { return !o.told.IsZero() }

// lasted returns the milliseconds since the module was last told, more than 0.
func (o *outage) lasted() float64 {
	now := time.Now()
	lasted := max(1, float64(now.Sub(o.told))/float64(time.Millisecond))
	o.told = now
	return lasted
}

// Run makes calls until ctx ends. After one that failed an empty call, which costs the proxies nothing, finds out whether
// the relay answers: so a call is uncertain once in an outage, however long it is, and its orders cross twice at most.
func (r *Sender) Run(ctx context.Context) error {
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

// reached makes an empty call in an outage and returns whether the relay says anything to it that can be read: one whose
// answers are all spoilt would leave the call uncertain again, and carry it out each time.
func (r *Sender) reached(ctx context.Context, out *outage) bool {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	r.Counters.Probes.Add(1)
	body, _, err := r.exchange(ctx, address, nil)
	if err == nil {
		_, err = parse(body, 0)
	}
	if err == nil || errors.Is(err, errRefused) {
		return true
	}
	r.log.Debug("relay out of reach", zap.Int("tries", out.tries), zap.Error(err))
	r.back(nil, true)
	r.wait(ctx, out, time.Now(), nil, err)
	return false
}

// failed puts a call back that failed and notes the outage.
func (r *Sender) failed(ctx context.Context, out *outage, began time.Time, call []op, err error) {
	r.Counters.Failed.Add(1)
	var again []int
	switch {
	case errors.Is(err, errLimit):
	case errors.Is(err, errUncertain):
		r.Counters.Uncertain.Add(int64(len(call)))
		if again = marks(call); len(again) == 0 {
			again = r.nextMarks()
		}
		r.log.Warn("call uncertain, said again", zap.Int("orders", len(call)), zap.Ints("marks", again), zap.Error(err))
	case errors.Is(err, errRefused):
		if r.refused++; r.refused >= mostRefuse {
			r.log.Error("call dropped", zap.Int("orders", len(call)), zap.Error(err))
			r.Counters.Dropped.Add(int64(len(call)))
			r.refused, call = 0, nil
		}
	default:
		r.log.Warn("call failed", zap.Int("orders", len(call)), zap.Error(err))
	}
	r.back(call, true)
	r.wait(ctx, out, began, again, err)
}

// wait tells the module how long nothing has been taken, and pauses. Lines that wait here have not left: were they taken
// for gone, all that was ordered meanwhile would overfill the relay's channel at once.
func (r *Sender) wait(ctx context.Context, out *outage, began time.Time, again []int, err error) {
	r.hangUp()
	if !out.lasts() {
		out.since, out.told = began, began
	}
	out.tries++
	_ = r.inbox.Post(ctx, controller.RelayStalled{ForMs: out.lasted(), Repeated: again}) // fails only when all ends
	pauseNow := out.pause
	out.pause = min(2*out.pause, pauseMost)
	if errors.Is(err, errLimit) {
		pauseNow, out.pause = limitPause, pauseLeast
	}
	backoff.Sleep(ctx, pauseNow)
}

// tellJoined tells the module which of its orders go out as one call. It has to know before a proxy can answer.
func (r *Sender) tellJoined(ctx context.Context, out *outage, call []op) {
	joined := marks(call)
	if len(joined) < 2 {
		return
	}
	in := controller.RelayStalled{Merged: joined}
	if out.lasts() {
		in.ForMs = out.lasted()
	}
	_ = r.inbox.Post(ctx, in) // fails only when all ends
}

// over tells the module that the relay takes orders again, if it did not.
func (r *Sender) over(ctx context.Context, out *outage, call []op) {
	if out.lasts() {
		r.log.Info("relay takes calls again", zap.Duration("after", time.Since(out.since)), zap.Int("tries", out.tries),
			zap.Int("orders", len(call)), zap.Ints("marks", marks(call)))
		_ = r.inbox.Post(ctx, controller.RelayStalled{}) // fails only when all ends
	}
	*out = outage{pause: pauseLeast}
}

// nextMarks returns the marks that stand behind a call that sets none, as a part of a turn that was too long for one. To
// count the other part twice as well is too much, which the next answer shows; not to count this one would be too little.
func (r *Sender) nextMarks() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, call := range r.queue {
		if next := marks(call); len(next) > 0 {
			return next
		}
	}
	return nil
}

// marks returns the marks that a call sets, with those that they have outdated.
func marks(call []op) (numbers []int) {
	for _, o := range call {
		numbers = append(numbers, o.marks...)
	}
	return numbers
}

// took counts what the relay took. The order it halted at is tried once more, in case the answer was wrong, and dropped
// then; nothing of a halted order is written, so that trying costs the proxies nothing.
func (r *Sender) took(call []op, taken int) {
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

func (r *Sender) hangUp() {
	if r.conn != nil {
		_ = r.conn.Close()
		r.conn = nil
	}
}

// call makes one call and returns how many orders were taken.
func (r *Sender) call(ctx context.Context, address string, call []op) (taken int, err error) {
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

// exchange sends a call and returns what the relay says to it.
func (r *Sender) exchange(ctx context.Context, address string, call []op) (body []byte, last bool, err error) {
	if r.conn != nil && (r.to != address || time.Since(r.used) > idleMost || connstate.At(r.conn) != connstate.Quiet) {
		r.hangUp()
	}
	if r.conn == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, false, fmt.Errorf("%w: dial relay: %w", errNotSent, err)
		}
		r.conn, r.to, r.reader = conn, address, bufio.NewReaderSize(conn, 1024)
	}
	if err := r.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return nil, false, fmt.Errorf("%w: set deadline: %w", errNotSent, err)
	}
	if _, err := r.conn.Write(request(address, call)); err != nil { // the last byte has not left
		return nil, false, fmt.Errorf("%w: write call: %w", errNotSent, err)
	}
	body, last, err = r.read()
	r.used = time.Now()
	return body, last, err
}

// read reads an answer whole.
func (r *Sender) read() (body []byte, last bool, err error) {
	resp, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return nil, false, fmt.Errorf("%w: read answer: %w", errUncertain, err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return nil, false, fmt.Errorf("%w: read answer: %w", errUncertain, err)
	}
	return body, resp.Close, nil
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

// parse returns what an answer says of a call. Whatever can't be read or can't be leaves it uncertain.
func parse(body []byte, orders int) (taken int, err error) {
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
	return *a.Count, nil
}
