package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// emulatedEndpoint is an endpoint. It follows the model of the testbed's endpoint, with the work done in virtual time.
type emulatedEndpoint struct {
	endpoint.Model
	w           *World
	location    location
	random      *rand.Rand       // a sequence of its own
	sharesCores bool             // all requests in flight share the cores; otherwise each waits for one
	thrash      float64          // by how much it slows for each request in flight beyond its cores
	process     *endpointProcess // nil while it does not run
	starts      int
	completed   map[uint64]bool // requests that took effect, of classes whose repeats are dropped; outlives the process

	fault       endpoint.FaultMode
	pausedUntil float64 // ms; all cores stand still until then
}

// endpointProcess is one process of an endpoint.
type endpointProcess struct {
	startedAt   float64 // ms
	cold        bool    // it warms up first
	connections map[string]bool

	inFlight  int     // requests that were accepted and not answered
	queue     []*task // waiting for a core
	busyCores int
	busyMs    float64 // core-ms spent so far
	served    float64 // requests so far

	// With sharesCores.
	sharedTasks      []*task // all in flight
	workCountedUntil float64 // ms; up to when their work has been counted off
	timerGeneration  uint64  // of the last timer; earlier ones are void

	// Overload while it warms up; once collapsed it answers nothing.
	overload  endpoint.WarmUpLoad
	collapsed bool

	// Load report: what is shown, what follows it with the lag, and the sums at the last one.
	load           []wire.LoadMetric
	nextLoad       []wire.LoadMetric
	reportedBusyMs float64
	reportedServed float64
}

// task is a request in flight at an endpoint.
type task struct {
	request *wire.Request
	workMs  float64 // left, on a core of speed 1
	answer  func(outcome wire.Outcome, comeBackMs float64, load []wire.LoadMetric)
}

// endpointSeedStep keeps the sequences of runs with neighbouring seeds apart.
const endpointSeedStep = 7919

// disciplineSharing is the setting of endpoints whose requests share the cores.
const disciplineSharing = "sharing"

// addEndpoint starts an endpoint of a group of the scenario.
func (w *World) addEndpoint(name string, group int, cold bool) {
	g := w.Scenario.Groups[group]
	speed := g.Speed * math.Exp(g.Spread*w.random.NormFloat64())
	model := endpoint.FromScenario(w.Scenario, group, name, speed)
	seed := uint64(w.Scenario.Seed*endpointSeedStep + len(w.endpoints))
	added := &emulatedEndpoint{
		Model:       model,
		w:           w,
		location:    location{name: name, zone: g.Zone},
		random:      rand.New(rand.NewPCG(seed, endpointStream)),
		sharesCores: g.Discipline == disciplineSharing,
		thrash:      g.Thrash,
		completed:   map[uint64]bool{},
	}
	w.auditor.AddAddress(name, name)
	w.endpoints = append(w.endpoints, added)
	w.endpointByName[name] = added
	entry := wire.Entry{Endpoint: name, Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		entry.Started = w.registry.clock()
	}
	w.entries[name] = entry
	added.start(cold)
}

// start begins a process.
func (e *emulatedEndpoint) start(cold bool) {
	e.starts++
	e.process = &endpointProcess{startedAt: e.w.now, cold: cold, connections: map[string]bool{}, workCountedUntil: e.w.now}
	kind := "warm"
	if cold {
		kind = "cold"
	}
	e.w.logEvent(e.Name, eventlog.Event{
		What:  eventlog.Start,
		N:     e.starts,
		Value: float64(e.Cores) * e.Speed,
		Text:  e.Zone,
		Kind:  kind,
	})
	e.scheduleLoadReport(e.process)
}

// kill ends the process. Its connections break, so that what was in flight fails at the proxies.
func (e *emulatedEndpoint) kill() {
	if e.process == nil {
		return
	}
	e.w.logEvent(e.Name, eventlog.Event{What: eventlog.Stop, N: e.starts})
	e.process = nil
	for _, proxy := range e.w.proxies {
		proxy.endpointDied(e.Name)
	}
}

// age returns how long a process has run.
func (e *emulatedEndpoint) age(process *endpointProcess) time.Duration {
	return time.Duration((e.w.now - process.startedAt) * float64(time.Millisecond))
}

// warmth returns the fraction of its speed at which a process works, by its age and by how many requests are in flight.
func (e *emulatedEndpoint) speedFactor(process *endpointProcess) float64 {
	warmth := e.SpeedFraction(process.cold, e.age(process))
	excess := process.inFlight - e.Cores
	if e.thrash > 0 && excess > 0 {
		warmth /= 1 + e.thrash*float64(excess)
	}
	return warmth
}

// connect returns whether a proxy's connection is accepted, and what the handshake costs in ms; nothing for one that is
// there already.
func (e *emulatedEndpoint) connect(from string) (accepted bool, costMs float64) {
	process := e.process
	if process == nil {
		return false, 0
	}
	if process.connections[from] {
		return true, 0
	}
	if len(process.connections) >= e.MaxConnections {
		return false, 0
	}
	process.connections[from] = true
	costMs = e.HandshakeMs + e.fault.ExtraHandshakeMs
	if costMs > 0 {
		costMs /= e.Speed * e.speedFactor(process)
		process.busyMs += costMs
	}
	return true, costMs
}

// dialDelayMs returns what a fault adds to each new connection.
func (e *emulatedEndpoint) dialDelayMs() float64 { return e.w.dialDelayMs[e.Name] }

// accept takes a request that arrives: it is processed, rejected, failed, or never answered.
func (e *emulatedEndpoint) accept(t *task) {
	process := e.process
	if process == nil {
		return
	}
	e.w.logEvent(e.Name, eventlog.Event{
		What:  eventlog.Arrive,
		Peer:  t.request.From,
		Kind:  t.request.Class,
		Req:   t.request.RequestID,
		Value: t.request.WorkMs,
	})
	faulty := e.fault.OnlyClass == "" || e.fault.OnlyClass == t.request.Class
	fails := faulty && e.fault.ErrorFraction > 0 && e.random.Float64() < e.fault.ErrorFraction
	hangs := faulty && e.fault.Hang
	if e.overloaded(process, t.request.WorkMs) || hangs {
		return
	}
	if fails {
		t.answer(wire.Errored, 0, process.load)
		return
	}
	if process.inFlight >= e.Cores+e.QueueLimit {
		t.answer(wire.Denied, e.RetryAfterMs, process.load)
		return
	}
	process.inFlight++
	t.workMs = t.request.WorkMs
	e.assignCore(process, t)
}

// begin has a request worked on, at once or once a core is free.
func (e *emulatedEndpoint) assignCore(process *endpointProcess, t *task) {
	switch {
	case e.sharesCores:
		e.countSharedWork(process)
		process.sharedTasks = append(process.sharedTasks, t)
		e.scheduleSharedCompletion(process)
	case process.busyCores < e.Cores:
		e.runOnCore(process, t)
	default:
		process.queue = append(process.queue, t)
	}
}

// overloaded counts the work that arrives while a process warms up, and returns whether the process has collapsed.
func (e *emulatedEndpoint) overloaded(process *endpointProcess, workMs float64) bool {
	if process.collapsed || !process.cold {
		return process.collapsed
	}
	over, fraction := process.overload.Add(&e.Model, e.age(process), workMs)
	process.collapsed = over
	if over {
		e.w.logEvent(e.Name, eventlog.Event{What: eventlog.Fell, N: e.starts, Value: fraction})
	}
	return over
}

// runOnCore has a core work on a request, then on the next that waits.
func (e *emulatedEndpoint) runOnCore(process *endpointProcess, t *task) {
	process.busyCores++
	tookMs := t.workMs / (e.Speed * e.speedFactor(process))
	if e.pausedUntil > e.w.now {
		tookMs += e.pausedUntil - e.w.now
	}
	e.w.After(tookMs, func() {
		if e.process != process {
			return
		}
		process.busyMs += tookMs
		process.busyCores--
		e.finish(process, t)
		if len(process.queue) > 0 && process.busyCores < e.Cores {
			next := process.queue[0]
			process.queue = process.queue[1:]
			e.runOnCore(process, next)
		}
	})
}

// finish lets a request take effect and answers it. A repeat that is dropped is answered as well.
func (e *emulatedEndpoint) finish(process *endpointProcess, t *task) {
	process.inFlight--
	process.served++
	isRepeat := false
	if e.Deduplicated[t.request.Class] {
		isRepeat = e.completed[t.request.RequestID]
		e.completed[t.request.RequestID] = true
	}
	if e.Effects[t.request.Class] && !isRepeat {
		e.w.logEvent(e.Name, eventlog.Event{
			What: eventlog.Effect,
			Peer: t.request.From,
			Kind: t.request.Class,
			Req:  t.request.RequestID,
		})
	}
	t.answer(wire.Succeeded, 0, process.load)
}
