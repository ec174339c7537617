// Package network is the network between stand-ins: connections that can be cut, slowed, made lossy or struck dumb by
// zone and by place, on loopback and without privileges. Whoever dials does so through Net, and both directions pass
// through it. What is held back by a cut arrives when it is mended, as TCP's repeats would bring it.
package network

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
)

// Place is where something stands: its name and its zone. A zone of "" reaches all.
type Place struct{ Name, Zone string }

// impairment is the state of the ways of one zone to all others.
type impairment struct {
	cut   bool
	delay time.Duration
	loss  float64
}

// Host is where this process's stand-ins listen: a loopback address of its own. Outgoing connections don't take ports
// from it, so one that restarts finds its port again; and no other rehearsal on the machine is given a port that
// proxies here still dial (a req of another's once took effect in a ledger here, and looked like a repeat).
var Host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%254, os.Getpid()/254%254)

// Listen opens a listener at an address, or at a new one if it is empty.
func Listen(at string) (net.Listener, error) {
	if at == "" {
		at = net.JoinHostPort(Host, "0")
	}
	return net.Listen("tcp", at)
}

// Network knows where addresses stand and how the ways between them are.
type Network struct {
	mu      sync.Mutex
	places  map[string]Place // by address
	zones   map[string]impairment
	blackholed    map[string]bool          // places that neither send nor receive
	dialDelay    map[string]time.Duration // more time to set up a connection to a place
	changed chan struct{}
	events   *eventlog.Stream
	random     *rand.Rand
}

// New returns a net of clear ways.
func New(t *eventlog.Stream, seed uint64) *Network {
	return &Network{places: map[string]Place{}, zones: map[string]impairment{}, blackholed: map[string]bool{},
		dialDelay: map[string]time.Duration{}, changed: make(chan struct{}), events: t, random: rand.New(rand.NewPCG(seed, 7))}
}

// Put says where an address stands.
func (n *Network) Put(address string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = p
}

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut cuts a zone off from all others, or mends it.
func (n *Network) Cut(zone string, cut bool) {
	n.change(func() { w := n.zones[zone]; w.cut = cut; n.zones[zone] = w })
	n.events.Add(eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[cut], Text: zone})
}

// Slow makes the ways between a zone and all others slow and lossy; zeros end it.
func (n *Network) Slow(zone string, delay time.Duration, loss float64) {
	n.change(func() { w := n.zones[zone]; w.delay, w.loss = delay, loss; n.zones[zone] = w })
}

// SetBlackhole silences a place, as a machine that loses its power, or lets it speak.
func (n *Network) SetBlackhole(name string, dumb bool) {
	n.change(func() { n.blackholed[name] = dumb })
	n.events.Add(eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[dumb], Peer: name})
}

// SlowDial makes connections to a place take longer to set up.
func (n *Network) SlowDial(name string, by time.Duration) { n.change(func() { n.dialDelay[name] = by }) }

// path returns the state between two places and a channel that closes when anything changes.
func (n *Network) path(a, b Place) (open bool, delay time.Duration, loss float64, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	open = !n.blackholed[a.Name] && !n.blackholed[b.Name]
	if a.Zone != b.Zone && a.Zone != "" && b.Zone != "" {
		for _, w := range []impairment{n.zones[a.Zone], n.zones[b.Zone]} {
			open = open && !w.cut
			delay, loss = max(delay, w.delay), max(loss, w.loss)
		}
	}
	return open, delay, loss, n.changed
}

func (n *Network) lost(p float64) bool {
	if p <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < p
}

// Dialer returns how a place dials.
func (n *Network) Dialer(from Place, timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		n.mu.Lock()
		to, extra := n.places[address], n.dialDelay[n.places[address].Name]
		n.mu.Unlock()
		if err := n.awaitDial(ctx, from, to, extra); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.connect(inner, from, to), nil
	}
}

// awaitDial waits for an open way and for as long as a greeting takes on it.
func (n *Network) awaitDial(ctx context.Context, from, to Place, extra time.Duration) error {
	for {
		open, delay, _, changed := n.path(from, to)
		if !open {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return timeout{}
			}
		}
		if wait := 2*delay + extra; wait > 0 {
			t := time.NewTimer(wait)
			defer t.Stop()
			select {
			case <-t.C:
			case <-ctx.Done():
				return timeout{}
			}
		}
		return nil
	}
}

// timeout is a dial that was never answered.
type timeout struct{}

func (timeout) Error() string   { return "no answer in time" }
func (timeout) Timeout() bool   { return true }
func (timeout) Temporary() bool { return true }

// connect puts the ways' weather between the caller and an open connection.
func (n *Network) connect(inner net.Conn, from, to Place) net.Conn {
	near, far := net.Pipe()
	done := make(chan struct{})
	var once sync.Once
	end := func() {
		once.Do(func() {
			close(done)
			_ = far.Close()
			_ = inner.Close()
		})
	}
	go n.forward(far, inner, from, to, done, end)
	go n.forward(inner, far, from, to, done, end)
	return &conn{Conn: near, inner: inner}
}

// conn shows the addresses of the real connection.
type conn struct {
	net.Conn
	inner net.Conn
}

func (c *conn) LocalAddr() net.Addr  { return c.inner.LocalAddr() }
func (c *conn) RemoteAddr() net.Addr { return c.inner.RemoteAddr() }

// chunk is a piece on its way.
type chunk struct {
	b   []byte
	due time.Time
}

// Limits of one direction: what is on its way at once, and what a repeat costs.
const (
	maxChunksInFlight = 256
	chunkBytes = 16 << 10
	retransmitDelay     = 200 * time.Millisecond
)

// forward moves one direction from its reader to its writer, each piece when its time has come and the way is open.
func (n *Network) forward(from, to net.Conn, a, b Place, done <-chan struct{}, end func()) {
	lane := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(lane)
		buf := make([]byte, chunkBytes)
		for {
			k, err := from.Read(buf)
			if k > 0 {
				_, delay, loss, _ := n.path(a, b)
				for n.lost(loss) {
					delay += retransmitDelay
				}
				select {
				case lane <- chunk{append([]byte(nil), buf[:k]...), time.Now().Add(delay)}:
				case <-done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer end()
	for c := range lane {
		if !n.awaitDelivery(a, b, c.due, done) {
			return
		}
		if _, err := to.Write(c.b); err != nil {
			return
		}
	}
	n.awaitDelivery(a, b, time.Time{}, done) // the end of a stream does not pass a cut either
}

// awaitDelivery returns whether a piece may go on, when its time has come.
func (n *Network) awaitDelivery(a, b Place, due time.Time, done <-chan struct{}) bool {
	if d := time.Until(due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-done:
			return false
		}
	}
	for {
		open, _, _, changed := n.path(a, b)
		if open {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}
