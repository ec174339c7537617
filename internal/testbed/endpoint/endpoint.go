// Package endpoint implements a socket-based endpoint for tests. It models cores of a configurable speed, a bounded
// request queue, a connection limit, a warm-up after a cold start, delayed and noisy load reports, and a ledger of
// executed requests. It simulates work by sleeping for as long as the work would take. It serves the messages
// wire.Request and wire.Probe of the framed protocol.
package endpoint

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
)

// randomStream is the second word of the random generator's seed. It makes the random numbers of an endpoint
// independent of those of other generators with the same first word.
const randomStream = 11

// Model describes the capacity and behavior of an endpoint.
type Model struct {
	Name, Zone, Machine string
	Cell                int
	Seed                uint64

	Cores          int
	Speed          float64 // ms of work that one core completes per ms
	QueueLimit     int     // maximum number of requests that wait for a core; further requests are rejected
	MaxConnections int     // maximum number of open connections; further connections are closed
	HandshakeMs    float64 // work for each new connection, in ms
	RetryAfterMs   float64 // wait before a retry that rejections ask for, in ms

	// Load reports.
	ReportEvery time.Duration // interval between load measurements
	ReportLag   time.Duration // if above 0, answers carry the measurement before the latest one
	ReportNoise float64       // standard deviation of the noise, as a fraction of the measured value

	// Warm-up of a process that started cold. The process fails if the work that arrives within OverloadWindow exceeds
	// OverloadMultiple times its capacity at that time; an OverloadMultiple of 0 disables this.
	WarmUp           time.Duration // duration of the warm-up; 0 means full speed at once
	WarmUpFrom       float64       // fraction of full speed at the start
	OverloadMultiple float64
	OverloadWindow   time.Duration

	Effects      map[string]bool // by request class: whether requests have side effects, which are logged
	Deduplicated map[string]bool // by request class: whether a repeated request has no second effect
}

// FaultMode describes the injected faults of an endpoint. The zero value means no fault.
type FaultMode struct {
	Hang             bool    // accept requests and health checks but answer none
	ErrorFraction    float64 // fraction of requests that fail immediately
	OnlyClass        string  // request class whose requests hang or fail; empty means all
	ExtraHandshakeMs float64 // additional work for each new connection, in ms
	AnswerTwice      bool    // send each answer twice
}

// Endpoint is one endpoint, whose process can be killed and restarted.
type Endpoint struct {
	Model
	events *eventlog.Stream

	mu      sync.Mutex // guards the fields below and those of the process
	address string     // listen address; empty before the first start
	process *process   // nil while no process is running
	starts  int        // number of starts so far
	fault   FaultMode
	ledger  map[uint64]bool // IDs of executed requests of deduplicated classes; kept across restarts
	random  *rand.Rand
}

// New returns an endpoint that has not started.
func New(m Model, events *eventlog.Stream) *Endpoint {
	return &Endpoint{
		Model:  m,
		events: events,
		ledger: map[uint64]bool{},
		random: rand.New(rand.NewPCG(m.Seed, randomStream)),
	}
}

// Start starts a process, cold or warm. Every process after the first listens at the address of the first. Start fails
// if a process is already running.
func (e *Endpoint) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return fmt.Errorf("start endpoint %s: already running", e.Name)
	}
	listener, err := network.Listen(e.address)
	if err != nil {
		return fmt.Errorf("start endpoint %s: %w", e.Name, err)
	}
	e.address = listener.Addr().String()
	e.starts++
	e.process = newProcess(e, cold)
	e.logStart(cold)
	e.process.start(listener)
	return nil
}

// logStart logs the start of a process, with the capacity of the endpoint when warm.
func (e *Endpoint) logStart(cold bool) {
	kind := "warm"
	if cold {
		kind = "cold"
	}
	capacity := float64(e.Cores) * e.Speed
	e.events.Add(eventlog.Event{What: eventlog.Start, N: e.starts, Value: capacity, Text: e.Zone, Kind: kind})
}

// Kill stops the process, if one is running, and waits for its goroutines. Its connections are closed, and requests in
// progress are lost.
func (e *Endpoint) Kill() {
	if running := e.stopProcess(); running != nil {
		running.wg.Wait()
	}
}

// stopProcess cancels the running process, closes its connections and returns it, or returns nil if no process is
// running. It does not wait for the goroutines of the process.
func (e *Endpoint) stopProcess() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.process
	if running == nil {
		return nil
	}
	e.process = nil
	e.events.Add(eventlog.Event{What: eventlog.Stop, N: e.starts})
	running.cancel()
	for conn := range running.conns {
		_ = conn.Close()
	}
	return running
}

// Address returns the listen address of the endpoint, or "" before its first start.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// SetFaultMode replaces the injected faults of the endpoint; the zero value removes them.
func (e *Endpoint) SetFaultMode(m FaultMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = m
}

func (e *Endpoint) currentFault() FaultMode {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}
