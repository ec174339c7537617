// Package agent follows the endpoint list at the platform's discovery agent: HTTP/1.1 watches, one after another on
// one connection. It parses, checks and hands over; what a list means the module decides. A call that fails or stays
// silent is made again on a new connection, with the version held.
package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pilot"
)

// Figures of the watch. A short wait finds a dead call soon: what discovery has to say counts as told 2 s after the
// wait has ended, whether it came or not.
const (
	watchWait     = 1000 * time.Millisecond
	answerTimeout = 400 * time.Millisecond // for the answer, beyond the wait
	dialTimeout   = 500 * time.Millisecond
	retryDelay    = 50 * time.Millisecond // after a failed call
	maxListBytes  = 8 << 20
	maxEntries    = 65536
	membersPath   = "/catalog/members" // the whole list's path
)

// Agent follows the list.
type Agent struct {
	Counters   Counters
	inbox      pilot.Inbox
	log        *zap.Logger
	mu         sync.Mutex
	address    string
	cancelCall context.CancelFunc // ends the call under way
	watching   bool
	fetch      bool
	wake       chan struct{}
	version    int
	hasList    bool // a list was told since the start
}

// New returns an agent that does nothing before Run. With watch it follows the list unasked.
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

// Move has calls go to another address. The call under way is given up, the version held is kept.
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

func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
