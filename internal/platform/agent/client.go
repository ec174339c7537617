// Package agent follows the endpoint list at the platform's discovery agent: HTTP/1.1 watches, one after another on
// one connection. It parses, checks and hands over; what a list means the planner decides. A call that fails or stays
// silent is made again on a new connection, from the version held.
package agent

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"indigousher/internal/pilot"
)

// Agent follows the list. Any goroutine may call its methods but Run, which one goroutine runs.
type Agent struct {
	Counters Counters

	inbox pilot.Inbox
	log   *zap.Logger
	wake  chan struct{} // holds a token when what is wanted has changed since Run last waited

	mu sync.Mutex // guards what follows

	// What is wanted.
	address    string
	watching   bool               // the list is followed
	fetch      bool               // the whole list is asked for once
	cancelCall context.CancelFunc // ends the call in flight, or the wait for something to do; nil before Run

	// What is held.
	hasList bool // version is of a list that was handed over, so that changes to it can be asked for
	version int
}

// New returns a client that does nothing before Run. With watch it follows the list unasked.
func New(address string, watch bool, inbox pilot.Inbox, log *zap.Logger) *Agent {
	return &Agent{address: address, watching: watch, inbox: inbox, log: log, wake: make(chan struct{}, 1)}
}

// Watch begins or ends following the list.
func (a *Agent) Watch(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watching = on
	a.signal()
}

// Fetch asks for the whole list once.
func (a *Agent) Fetch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetch = true
	a.signal()
}

// Move has calls go to another address. The call in flight is given up, the version held is kept.
func (a *Agent) Move(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.address == address {
		return
	}
	a.address = address
	if a.cancelCall != nil {
		a.cancelCall()
	}
	a.signal()
}

// signal wakes Run, should it wait for something to do.
func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default: // it is woken already
	}
}
