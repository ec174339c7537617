// Package proxy is a proxy on sockets for tests: it serves clients, keeps a stream to one pilot at a time, and routes
// requests as package routing does by what the pilot sent.
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

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options is what a proxy is made of.
type Options struct {
	Name, Zone  string
	Routing     routing.Policy
	Rate        float64         // requests a second that ordinarily come, as the hello names it
	StaticTable func() []string // endpoints to use before a pilot assigns tables; asked at each start
	Seed        uint64

	// The stream to the pilot.
	Pilots       func() []string // addresses to dial, the home pilot first
	NewJoiner    func() Joiner   // called at each start; nil: the framed wire without TLS
	RedialPause  time.Duration   // mean wait before dialling again
	ApplyPerLine time.Duration   // how long one line takes to apply; requests wait meanwhile

	// Requests.
	Dial              Dial // to pilots and endpoints
	DialTimeout       time.Duration
	LatencyObjectives []time.Duration // by class
	ClientTimeouts    []time.Duration // by class
	FirstAttemptShare float64         // of the latency objective: how long an attempt waits that a retry may follow

	// Faults of the proxy itself.
	StopReading          func() bool    // does not read its stream while true
	IgnoreReportRequests bool           // reports all endpoints at the first period, whatever the pilot asks for
	ReportFactor         func() float64 // reports that many times as often
	ClockOffsetMs        float64        // of the times in its reports
}

// Proxy is one proxy, whose process can die and start again.
type Proxy struct {
	Options
	events *eventlog.Stream

	mu      sync.Mutex // guards what follows
	address string     // empty before the first start
	process *process   // nil while none runs
	starts  int
}

// New returns a proxy that has not started.
func New(options Options, events *eventlog.Stream) *Proxy {
	return &Proxy{Options: options, events: events}
}

// Start begins a process, at the address of the first one.
func (p *Proxy) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.process != nil {
		return fmt.Errorf("start %s: it runs", p.Name)
	}
	listener, err := network.Listen(p.address)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.address = listener.Addr().String()
	p.starts++
	p.process = newProcess(p, p.starts)
	p.process.start(listener)
	return nil
}

// Kill ends the process and returns when its goroutines have ended. All its sockets close.
func (p *Proxy) Kill() {
	p.mu.Lock()
	running := p.process
	p.process = nil
	p.mu.Unlock()
	if running != nil {
		running.kill()
	}
}

// DropStream breaks the stream to the pilot.
func (p *Proxy) DropStream() {
	p.mu.Lock()
	running := p.process
	p.mu.Unlock()
	if running != nil {
		running.dropStream()
	}
}

// Address returns where clients connect.
func (p *Proxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}
