// Package discovery follows the endpoint list at the platform's discovery agent: HTTP/1.1 watches, one after another on
// one connection. It parses, checks and hands over; what a list means the module decides. A call that fails or stays
// silent is made again on a new connection, with the version held.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// Figures of the watch. A short wait finds a dead call soon: what discovery has to say counts as told 2 s after the
// wait has ended, whether it came or not.
const (
	wait        = 1000 * time.Millisecond
	patience    = 400 * time.Millisecond // for the answer, beyond the wait
	dialWithin  = 500 * time.Millisecond
	failedPause = 50 * time.Millisecond // after a failed call
	mostBytes   = 8 << 20
	mostEntries = 65536
	whole       = "/catalog/members" // the whole list's path
)

// ErrList says that an answer is no list.
var ErrList = errors.New("not a list of endpoints")

type entry struct {
	Name    *string  `json:"name"`
	Zone    string   `json:"zone"`
	Machine string   `json:"type"`
	Cell    int      `json:"group"`
	Status  string   `json:"status"`
	Weight  *float64 `json:"weight"`
	SinceMs float64  `json:"since_ms"`
}

type answer struct {
	Index     *int              `json:"index"`
	Snapshot  bool              `json:"snapshot"`
	Endpoints []json.RawMessage `json:"endpoints"`
}

var phases = map[string]int{"active": wire.PhaseReady, "leaving": wire.PhaseDraining, "left": wire.PhaseGone}

// ParseList reads a list in discovery's form and counts the entries that can't be used.
func ParseList(text []byte) (l *wire.List, odd int, err error) {
	var a answer
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrList, err)
	}
	if a.Index == nil || a.Endpoints == nil || len(a.Endpoints) > mostEntries {
		return nil, 0, fmt.Errorf("%w: index or endpoints are missing", ErrList)
	}
	l = &wire.List{Version: *a.Index, Whole: a.Snapshot, Now: uint64(time.Now().UnixMilli())}
	for _, raw := range a.Endpoints {
		e, ok := parseEntry(raw)
		if !ok {
			odd++
			continue
		}
		l.Entries = append(l.Entries, e)
	}
	return l, odd, nil
}

func parseEntry(raw []byte) (wire.Entry, bool) {
	var e entry
	if err := json.Unmarshal(raw, &e); err != nil || e.Name == nil || *e.Name == "" || len(*e.Name) > 256 {
		return wire.Entry{}, false
	}
	phase, known := phases[e.Status]
	if !known || e.SinceMs < 0 || e.SinceMs > 1e15 {
		return wire.Entry{}, false
	}
	weight := 1.0
	if e.Weight != nil {
		weight = *e.Weight
	}
	return wire.Entry{Endpoint: *e.Name, Zone: e.Zone, Machine: e.Machine, Cell: e.Cell, Phase: phase, Weight: weight,
		Started: uint64(e.SinceMs)}, true
}

// Counters of the calls, for the pilot's book-keeping.
type Counters struct{ Calls, Failed, Lists, Malformed atomic.Int64 }

// Client follows the list.
type Client struct {
	Counters Counters
	inbox    controller.Inbox
	log      *zap.Logger
	mu       sync.Mutex
	address  string
	changed  context.CancelFunc // ends the call under way
	watching bool
	fetch    bool
	wake     chan struct{}
	index    int
	have     bool // a list was told since the start
}

// New returns an agent that does nothing before Run. With watch it follows the list unasked.
func New(address string, watch bool, inbox controller.Inbox, log *zap.Logger) *Client {
	return &Client{address: address, watching: watch, inbox: inbox, log: log, wake: make(chan struct{}, 1)}
}

// Watch begins or ends following the list.
func (a *Client) Watch(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching = on
	a.nudge()
}

// Fetch asks for the whole list once.
func (a *Client) Fetch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetch = true
	a.nudge()
}

// SetAddress has calls go to another address. The call under way is given up, the version held is kept.
func (a *Client) SetAddress(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.address == address {
		return
	}
	a.address = address
	if a.changed != nil {
		a.changed()
	}
	a.nudge()
}

func (a *Client) nudge() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run follows the list until ctx ends.
func (a *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mu.Lock()
		address, wanted := a.address, a.watching || a.fetch
		cctx, cancel := context.WithCancel(ctx)
		a.changed = cancel
		a.mu.Unlock()
		if !wanted {
			select {
			case <-a.wake:
			case <-cctx.Done():
			}
			cancel()
			continue
		}
		err := a.connected(cctx, address)
		moved := cctx.Err() != nil
		cancel()
		if err != nil && !moved {
			a.Counters.Failed.Add(1)
			a.log.Debug("discovery", zap.String("address", address), zap.Error(err))
			backoff.Sleep(ctx, failedPause)
		}
	}
	return nil
}

// connected makes calls on one connection until it fails or nothing is wanted.
func (a *Client) connected(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r := bufio.NewReader(conn)
	for {
		path, within, ok := a.next()
		if !ok {
			return nil
		}
		a.Counters.Calls.Add(1)
		body, last, err := call(conn, r, address, path, within)
		if err != nil {
			return err
		}
		l, odd, err := ParseList(body)
		if err != nil {
			return err
		}
		a.Counters.Malformed.Add(int64(odd))
		if err := a.take(ctx, l, path == whole); err != nil || last {
			return err
		}
	}
}

// next returns the next call's path and how long it may take.
func (a *Client) next() (path string, within time.Duration, wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetch || !a.have {
		if !a.watching && !a.fetch {
			return "", 0, false
		}
		a.fetch = false
		return whole, patience, true
	}
	if !a.watching {
		return "", 0, false
	}
	return fmt.Sprintf("%s?index=%d&wait=%d", whole, a.index, wait.Milliseconds()), wait + patience, true
}

// take hands a list over. Changes without entries only say that the watch lives. Changes to what is not held here,
// where the whole list was asked for or the version went back, count as told; the whole list is asked for next.
func (a *Client) take(ctx context.Context, l *wire.List, askedWhole bool) error {
	a.mu.Lock()
	unbased := !l.Whole && (askedWhole || a.have && l.Version < a.index)
	a.have, a.index = !unbased, l.Version
	a.mu.Unlock()
	if l.Whole || len(l.Entries) > 0 {
		a.Counters.Lists.Add(1)
		if err := a.inbox.Post(ctx, controller.EndpointsListed{List: l}); err != nil {
			return err
		}
	}
	if unbased {
		return fmt.Errorf("%w: changes to a version not held here, %d", ErrList, l.Version)
	}
	return nil
}

// call makes one call and returns the body of its answer, and whether the connection takes no other.
func call(conn net.Conn, r *bufio.Reader, host, path string, within time.Duration) (body []byte, last bool, err error) {
	if err := conn.SetDeadline(time.Now().Add(within)); err != nil {
		return nil, false, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return nil, false, fmt.Errorf("ask discovery: %w", err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, false, fmt.Errorf("read discovery's answer: %w", err)
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, mostBytes+1))
	if err != nil {
		return nil, false, fmt.Errorf("read the list: %w", err)
	}
	if resp.StatusCode != http.StatusOK || len(body) > mostBytes {
		return nil, false, fmt.Errorf("%w: status %d, %d bytes", ErrList, resp.StatusCode, len(body))
	}
	return body, resp.Close, nil
}
