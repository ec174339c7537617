package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
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

// event is one event, a line of a stream.
type event struct {
	Type   string `json:"type"`
	Object struct {
		Node     *int     `json:"node"`
		Locality string   `json:"locality"`
		Rate     float64  `json:"w"`
		Cold     bool     `json:"cold"`
		Nonce    *int     `json:"nonce"`
		Latency  *float64 `json:"latency"`
	} `json:"object"`
}

// member is what is known of a proxy that stands.
type member struct {
	zone  string
	since time.Time      // when it was told
	marks [mostMarks]int // answered lately, plus 1
	next  int
}

// stream is one of the connections.
type stream struct {
	open     bool
	opened   time.Time
	heard    time.Time
	address  string
	cut      context.CancelFunc
	standing map[int]bool // told since the opening; nil: no longer counted
	gap      bool         // nothing else carried the events when it opened
	long     bool         // for so long that a proxy may have left and come back
	stands   time.Time    // a proxy that stands was told last
}

// EventStream reads the relay's event streams on two connections and makes one sequence of them: what one of them has told already the
// other tells in vain. Only where both were broken is anything inferred from what stands at the next opening.
type EventStream struct {
	Counters *Counters
	inbox    controller.Inbox
	log      *zap.Logger
	mu       sync.Mutex
	address  string
	members  map[int]*member
	streams  [Streams]stream
	covered  time.Time // until when the events are known to be whole; zero: nothing has been told
}

// NewEventStream returns a reader of a relay's events.
func NewEventStream(address string, inbox controller.Inbox, c *Counters, log *zap.Logger) *EventStream {
	return &EventStream{Counters: c, inbox: inbox, log: log, address: address, members: map[int]*member{}}
}

// SetAddress has the streams go to another address, one after another: the second leaves when the first stands there.
func (n *EventStream) SetAddress(address string) {
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
func (n *EventStream) Run(ctx context.Context, i int) error {
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
			backoff.Sleep(ctx, redial)
		}
	}
	return nil
}

// read opens a stream and reads it to its end.
func (n *EventStream) read(ctx context.Context, address string, i int) error {
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
			if !backoff.Sleep(octx, wait) {
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

// opened notes that a stream begins, and whether there is a gap in the events before it.
func (n *EventStream) opened(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, l := time.Now(), &n.streams[i]
	l.open, l.opened, l.heard, l.standing, l.gap, l.long, l.stands = true, now, now, map[int]bool{}, true, false, now
	for j := range n.streams {
		if o := &n.streams[j]; j != i && o.open && now.Sub(o.heard) < freshFor {
			l.gap = false
		}
	}
	if l.gap {
		if l.long = !n.covered.IsZero() && now.Sub(n.covered) > gapMost; !n.covered.IsZero() {
			n.Counters.Gaps.Add(1)
			n.log.Warn("gap in the event streams", zap.Duration("for", now.Sub(n.covered)))
		}
	}
}

// closed notes that a stream has ended. Where it had fallen silent and the other began after it last said anything, or
// where it had yet to tell what stands after a gap, what happened in between neither has told: the other opens anew.
func (n *EventStream) closed(i int, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.streams[i]
	if !l.open {
		return
	}
	untold := l.gap && l.standing != nil
	l.open, l.standing = false, nil
	if !untold && l.heard.After(n.covered) {
		n.covered = l.heard
	}
	for j := range n.streams {
		if o := &n.streams[j]; j != i && o.open && !o.gap && (untold || silent && o.opened.After(l.heard)) {
			o.open, o.standing = false, nil
			o.cut()
		}
	}
}

// opening returns how long a stream may still be telling what stands. Thousands of proxies take their time, above all on
// part of a core, and whoever is told late would be taken for one that has left.
func (n *EventStream) opening(i int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams[i].standing == nil {
		return 0
	}
	return standsFor - time.Since(n.streams[i].stands)
}

// stands ends the opening of a stream: after a gap, proxies that were not told have left.
func (n *EventStream) stands(ctx context.Context, i int) {
	n.mu.Lock()
	l := &n.streams[i]
	var left []int
	if l.open && l.standing != nil {
		if l.gap {
			n.log.Info("proxies told after a gap", zap.Int("stream", i), zap.Int("standing", len(l.standing)),
				zap.Int("known", len(n.members)), zap.Bool("long", l.long))
			for p := range n.members {
				if !l.standing[p] {
					left = append(left, p)
				}
			}
		}
		l.standing = nil
		for j := range n.streams { // one at an address that was left has told what happened up to here
			if o := &n.streams[j]; l.address == n.address && o.address != n.address && o.cut != nil {
				o.cut()
			}
		}
	}
	slices.Sort(left)
	for _, p := range left {
		delete(n.members, p)
		_ = n.inbox.Post(ctx, controller.RelayProxyLeft{Proxy: p}) // fails only when all ends
	}
	n.mu.Unlock()
}

// take takes one event in.
func (n *EventStream) take(ctx context.Context, i int, text []byte) error {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		return fmt.Errorf("unreadable event: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.streams[i].heard = time.Now()
	if e.Type == "" || e.Object.Node == nil {
		return nil // a sign of life
	}
	n.Counters.Events.Add(1)
	in := n.sort(&n.streams[i], &e)
	if in == nil {
		return nil
	}
	return n.inbox.Post(ctx, in)
}

// sort returns what an event says that is new; nil: nothing.
func (n *EventStream) sort(l *stream, e *event) controller.Input {
	p := *e.Object.Node
	m := n.members[p]
	switch e.Type {
	case "joined":
		// Whoever the other stream has told since this one opened has not come back meanwhile: at a start both tell all.
		before := m != nil && !m.since.After(l.opened)
		again := before && l.standing != nil && l.gap && !l.standing[p] && (l.long || e.Object.Cold)
		if l.standing != nil {
			l.standing[p], l.stands = true, l.heard
		}
		if m != nil && m.zone == e.Object.Locality && !again {
			return nil
		}
		n.members[p] = &member{zone: e.Object.Locality, since: l.heard}
		return controller.RelayProxyJoined{Proxy: p, Zone: e.Object.Locality, Rate: e.Object.Rate, Fresh: e.Object.Cold,
			Resumed: again && m.zone == e.Object.Locality && !e.Object.Cold}
	case "left":
		if l.standing != nil {
			delete(l.standing, p)
		}
		if m != nil {
			delete(n.members, p)
			return controller.RelayProxyLeft{Proxy: p}
		}
	case "applied":
		if m != nil && e.Object.Nonce != nil && e.Object.Latency != nil && m.answers(*e.Object.Nonce) {
			return controller.RelayAck{Proxy: p, Mark: *e.Object.Nonce, TookMs: *e.Object.Latency}
		}
	}
	return nil
}

// answers returns whether an answer to a mark has not been told before.
func (m *member) answers(mark int) bool {
	if slices.Contains(m.marks[:], mark+1) {
		return false
	}
	m.marks[m.next%mostMarks] = mark + 1
	m.next++
	return true
}
