// Package network simulates the network between the parts of the testbed. Connections can be cut, slowed, made lossy or
// blackholed by zone and by place. The connections use loopback addresses, so no privileges are needed. Every part of
// the testbed dials through a Network, which forwards both directions of the connection. Data that is held back by a
// cut is delivered when the cut ends, as it would be by TCP retransmissions.
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

// randomStream is the second word of the random generator's seed. It makes the random numbers of the network
// independent of those of other generators with the same first word.
const randomStream = 7

// Place identifies a part of the testbed by its name and its zone. Faults of zones do not affect a place with an empty
// zone.
type Place struct{ Name, Zone string }

// Host is the loopback address at which the parts of the testbed in this process listen. It is derived from the process
// ID. Outgoing connections do not use ports of this address, so a restarted part can listen at its old port again.
// Other rehearsals on the same machine listen at other addresses, so none of them can be assigned a port that proxies
// of this process still dial: with a shared address, a request of one rehearsal once took effect in the ledger of
// another and was mistaken for a repeat.
var Host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%254, os.Getpid()/254%254)

// Listen listens at a TCP address, or at a free port of Host if address is empty.
func Listen(address string) (net.Listener, error) {
	if address == "" {
		address = net.JoinHostPort(Host, "0")
	}
	return net.Listen("tcp", address)
}

// impairment describes the faults of the paths between one zone and all others. The zero value means no fault.
type impairment struct {
	cut   bool
	delay time.Duration // added in each direction
	loss  float64       // probability that a chunk, or a retransmission of it, is lost
}

// Network holds the places of addresses and the faults of the paths between them. It is safe for concurrent use.
type Network struct {
	events *eventlog.Stream

	mu         sync.Mutex               // guards the fields below
	places     map[string]Place         // by address
	zones      map[string]impairment    // by name of the zone
	blackholed map[string]bool          // by name of the place: whether it can neither send nor receive
	dialDelay  map[string]time.Duration // by name of the place: additional time to connect to it
	changed    chan struct{}            // closed when any fault changes, and then replaced
	random     *rand.Rand
}

// New returns a network without faults.
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

// Put sets the place of an address.
func (n *Network) Put(address string, p Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[address] = p
}

// Cut cuts a zone off from all others, or ends the cut.
func (n *Network) Cut(zone string, cut bool) {
	n.change(func() {
		state := n.zones[zone]
		state.cut = cut
		n.zones[zone] = state
	})
	n.events.Add(eventlog.Event{What: cutEvent(cut), Text: zone})
}

// Slow sets the one-way delay and the loss probability of the paths between a zone and all others; 0 removes each
// fault.
func (n *Network) Slow(zone string, delay time.Duration, loss float64) {
	n.change(func() {
		state := n.zones[zone]
		state.delay = delay
		state.loss = loss
		n.zones[zone] = state
	})
}

// SetBlackhole stops all data to and from a place, as if its machine had lost power, or lets it pass again.
func (n *Network) SetBlackhole(name string, blackholed bool) {
	n.change(func() { n.blackholed[name] = blackholed })
	n.events.Add(eventlog.Event{What: cutEvent(blackholed), Peer: name})
}

// SlowDial sets the additional time that it takes to connect to a place; 0 removes the fault.
func (n *Network) SlowDial(name string, by time.Duration) {
	n.change(func() { n.dialDelay[name] = by })
}

// change calls f with mu held, to change faults, and wakes all goroutines that wait for a change.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func cutEvent(cut bool) eventlog.What {
	if cut {
		return eventlog.Cut
	}
	return eventlog.Mended
}

// pathState is the state of the path between two places.
type pathState struct {
	open    bool
	delay   time.Duration   // in each direction
	loss    float64         // probability that a chunk is lost
	changed <-chan struct{} // closed when any fault changes
}

// path returns the state of the path between two places. It combines the worst values of the faults of both zones.
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

// drawLoss decides at random whether a chunk is lost.
func (n *Network) drawLoss(probability float64) bool {
	if probability <= 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < probability
}
