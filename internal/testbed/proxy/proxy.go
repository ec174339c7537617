// Package proxy implements a socket-based proxy for tests. It serves clients, maintains a stream to one pilot at a
// time, and routes requests with package routing according to the commands of the pilot.
package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/testbed/routing"
)

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options holds the settings of a proxy.
type Options struct {
	Name, Zone  string
	Routing     routing.Policy
	Rate        float64         // usual number of requests per second, sent in the hello message
	StaticTable func() []string // returns the endpoints to use before a pilot assigns tables; called at each start
	Seed        uint64

	// The stream to the pilot.
	Pilots       func() []string // returns the addresses of the pilots, the home pilot first
	NewJoiner    func() Joiner   // called at each start; nil means the framed protocol without TLS
	RedialPause  time.Duration   // mean wait before dialing a pilot again
	ApplyPerLine time.Duration   // simulated time to apply one operation, during which requests wait

	// Requests.
	Dial              Dial            // dials pilots and endpoints
	DialTimeout       time.Duration   // timeout of a dial to an endpoint
	LatencyObjectives []time.Duration // by class
	ClientTimeouts    []time.Duration // by class
	FirstAttemptShare float64         // timeout of an attempt that may be retried, as a fraction of the latency objective

	// Injected faults of the proxy.
	StopReading          func() bool    // while it returns true, the proxy does not read its stream; nil means never
	IgnoreReportRequests bool           // keep the report period of the welcome and report all endpoints
	ReportFactor         func() float64 // factor by which reports are more frequent; nil means 1
	ClockOffsetMs        float64        // added to the times in load reports, in ms
}

// Proxy is one proxy, whose process can be killed and restarted.
type Proxy struct {
	Options
	events *eventlog.Stream

	mu      sync.Mutex // guards the fields below
	address string     // listen address; empty before the first start
	process *process   // nil while no process is running
	starts  int        // number of starts so far
}

// New returns a proxy that has not started.
func New(options Options, events *eventlog.Stream) *Proxy {
	return &Proxy{Options: options, events: events}
}

// Start starts a process. Every process after the first listens at the address of the first. Start fails if a process
// is already running.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return fmt.Errorf("start proxy %s: already running", p.Name)
	}
	listener, err := network.Listen(p.address)
	if err != nil {
		return fmt.Errorf("start proxy %s: %w", p.Name, err)
	}
	p.address = listener.Addr().String()
	p.starts++
	p.process = newProcess(p, p.starts)
	p.process.start(listener)
	return nil
}

// Kill stops the process, if one is running, closes all its sockets and waits for its goroutines.
func (p *Proxy) Kill() {
	p.mu.Lock()
	running := p.process
	p.process = nil
	p.mu.Unlock()
	if running != nil {
		running.kill()
	}
}

// DropStream closes the stream to the pilot, if there is one. The proxy then dials a pilot again.
func (p *Proxy) DropStream() {
	p.mu.Lock()
	running := p.process
	p.mu.Unlock()
	if running != nil {
		running.dropStream()
	}
}

// Address returns the address for clients, or "" before the first start.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}
