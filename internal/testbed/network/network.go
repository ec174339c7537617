// Package network is the network between the parts of the testbed: connections that can be cut, slowed, made lossy or
// blackholed by zone and by place, on loopback and without privileges. Whoever dials does so through a Network, and
// both directions pass through it. What a cut holds back arrives when it is mended, as TCP's retransmissions would
// bring it.
package network

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
)

// randomStream is the second word of the random generator's seed. It keeps the network's draws apart from others with
// the same first word.
const randomStream = 7

// Place is where something is: its name and its zone. A zone of "" reaches all.
type Place struct{ Name, Zone string }

// Host is where this process's parts of the testbed listen: a loopback address of its own. Outgoing connections don't
// take ports from it, so one that restarts finds its port again; and no other rehearsal on the machine is given a port
// that proxies here still dial (a request of another's once took effect in a ledger here, and looked like a repeat).
var Host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%254, os.Getpid()/254%254)

// Listen opens a listener at an address, or at a new one if it is empty.
func Listen(address string) (net.Listener, error) {
	if address == "" {
		address = net.JoinHostPort(Host, "0")
	}
	return net.Listen("tcp", address)
}

// impairment is what is wrong with the paths between one zone and all others.
type impairment struct {
	cut   bool
	delay time.Duration // one way
	loss  float64       // probability, for each chunk and each of its retransmissions
}

// Network knows where addresses are and what is wrong with the paths between them.
type Network struct {
	events *eventlog.Stream

	mu         sync.Mutex // guards what follows
	places     map[string]Place
	zones      map[string]impairment
	blackholed map[string]bool          // places that neither send nor receive
	dialDelay  map[string]time.Duration // by place: how much longer it takes to connect to it
	changed    chan struct{}            // closed at the next change of what is wrong
	random     *rand.Rand
}

// New returns a network with nothing wrong.
func New(events *eventlog.Stream, seed uint64) *Network {
	return &Network{
		events:     events,
		places:     map[string]Place{},
		zones:      map[string]impairment{},
		blackholed: map[string]bool{},
		dialDelay:  map[string]time.Duration{},
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(seed, randomStream)),
	}
}

// Put says where an address is.
func (n *Network) Put(address string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = p
}

// Cut cuts a zone off from all others, or mends it.
func (n *Network) Cut(zone string, cut bool) {
	n.change(func() {
		state := n.zones[zone]
		state.cut = cut
		n.zones[zone] = state
	})
	n.events.Add(eventlog.Event{What: cutOrMended(cut), Text: zone})
}

// Slow makes the paths between a zone and all others slow and lossy; zeros end it.
func (n *Network) Slow(zone string, delay time.Duration, loss float64) {
	n.change(func() {
		state := n.zones[zone]
		state.delay = delay
		state.loss = loss
		n.zones[zone] = state
	})
}

// SetBlackhole has a place neither send nor receive, as a machine that loses its power, or ends that.
func (n *Network) SetBlackhole(name string, blackholed bool) {
	n.change(func() { n.blackholed[name] = blackholed })
	n.events.Add(eventlog.Event{What: cutOrMended(blackholed), Peer: name})
}

// SlowDial makes connections to a place take longer to set up; 0 ends it.
func (n *Network) SlowDial(name string, by time.Duration) {
	n.change(func() { n.dialDelay[name] = by })
}

// change changes what is wrong, and wakes all that wait for a change.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func cutOrMended(cut bool) eventlog.What {
	if cut {
		return eventlog.Cut
	}
	return eventlog.Mended
}

// pathState is the state of the path between two places.
type pathState struct {
	open    bool
	delay   time.Duration // one way
	loss    float64
	changed <-chan struct{} // closed when anything changes
}

// path returns the state of the path between two places: the worse of their zones'.
func (n *Network) path(a, b Place) pathState {
	n.mu.Lock()
	defer n.mu.Unlock()
	state := pathState{open: !n.blackholed[a.Name] && !n.blackholed[b.Name], changed: n.changed}
	if a.Zone == b.Zone || a.Zone == "" || b.Zone == "" {
		return state
	}
	for _, zone := range []string{a.Zone, b.Zone} {
		wrong := n.zones[zone]
		state.open = state.open && !wrong.cut
		state.delay = max(state.delay, wrong.delay)
		state.loss = max(state.loss, wrong.loss)
	}
	return state
}

// lost draws whether a chunk is lost.
func (n *Network) lost(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < probability
}
