// Package endpoint is an endpoint on sockets for tests: cores of some speed, a bounded queue, a bound on connections, a
// warm-up after a cold start, load reports that are late and noisy, and a ledger of effects. It does work by sleeping
// for as long as the work would take. It serves the framed protocol's Req and Probe.
package endpoint

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
)

// randomStream is the second word of the random generator's seed. It keeps the draws of an endpoint apart from those of
// others with the same first word.
const randomStream = 11

// Model is what an endpoint is made of.
type Model struct {
	Name, Zone, Machine string
	Cell                int
	Seed                uint64

	Cores          int
	Speed          float64 // ms of work that a core does in a ms
	QueueLimit     int     // requests that wait for a core; one more is rejected
	MaxConnections int
	HandshakeMs    float64 // of work for each new connection
	RetryAfterMs   float64 // goes with rejections

	// Load reports.
	ReportEvery time.Duration
	ReportLag   time.Duration // if above 0, reports are one period old
	ReportNoise float64       // standard deviation, as a fraction of the figure

	// Warm-up of a process that started cold.
	WarmUp           time.Duration
	WarmUpFrom       float64       // fraction of full speed at the start
	OverloadMultiple float64       // of its capacity at the time: more work in a window makes the process fail; 0: never
	OverloadWindow   time.Duration // over which that work is summed up

	Effects      map[string]bool // by class: whether its requests have effects, which are logged
	Deduplicated map[string]bool // by class: whether the effects of repeats are dropped
}

// FaultMode is what is wrong with an endpoint.
type FaultMode struct {
	Hang             bool    // takes requests and health checks and answers none
	ErrorFraction    float64 // of the requests: fail at once
	OnlyClass        string  // the class that hangs or fails; empty: all
	ExtraHandshakeMs float64 // of work for each new connection
	AnswerTwice      bool    // sends each answer twice
}

// Endpoint is one machine, whose process can die and start again.
type Endpoint struct {
	Model
	events *eventlog.Stream

	mu      sync.Mutex // guards what follows, and the process's state
	address string     // empty before the first start
	process *process   // nil while none runs
	starts  int
	fault   FaultMode
	ledger  map[uint64]bool // requests of deduplicated classes that were executed; outlives the process
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

// Start begins a process, cold or warm, at the address of the first one.
func (e *Endpoint) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return fmt.Errorf("start %s: it runs", e.Name)
	}
	listener, err := network.Listen(e.address)
	if err != nil {
		return fmt.Errorf("start %s: %w", e.Name, err)
	}
	e.address = listener.Addr().String()
	e.starts++
	e.process = newProcess(e, cold)
	e.logStart(cold)
	e.process.start(listener)
	return nil
}

// logStart logs a start with the capacity that the endpoint will have once it is warm.
func (e *Endpoint) logStart(cold bool) {
	kind := "warm"
	if cold {
		kind = "cold"
	}
	capacity := float64(e.Cores) * e.Speed
	e.events.Add(eventlog.Event{What: eventlog.Start, N: e.starts, Value: capacity, Text: e.Zone, Kind: kind})
}

// Kill ends the process and returns when its goroutines have ended. Connections break and work is lost.
func (e *Endpoint) Kill() {
	if running := e.stopProcess(); running != nil {
		running.wg.Wait()
	}
}

// stopProcess has the process end, and returns it, or nil if none runs.
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

// Address returns where it listens, from its first start on.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// SetFaultMode changes what is wrong with the endpoint; the zero value mends it.
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
