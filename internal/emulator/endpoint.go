package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// emulatedEndpoint is an endpoint that uses the same model as the testbed's endpoint and processes requests in
// virtual time.
type emulatedEndpoint struct {
	endpoint.Model
	w           *World
	location    location
	random      *rand.Rand       // random numbers of this endpoint only
	sharesCores bool             // requests in flight share the cores; false: each occupies one core or waits
	thrash      float64          // relative slowdown for each request in flight beyond the number of cores; 0: none
	process     *endpointProcess // nil while the endpoint is not running
	starts      int              // number of processes started so far
	completed   map[uint64]bool  // IDs of completed requests of deduplicated classes; kept across restarts

	fault       endpoint.FaultMode
	pausedUntil float64 // ms; no core makes progress before this time
}

// endpointProcess is the state of an endpoint between a start and the next stop. Requests and connections are lost
// with it.
type endpointProcess struct {
	startedAt   float64         // ms
	cold        bool            // it starts with reduced speed and warms up
	connections map[string]bool // open connections, by name of the proxy

	inFlight  int     // requests accepted and not yet answered
	queue     []*task // waiting for a core
	busyCores int     // cores that process a request
	busyMs    float64 // core time used so far, in ms
	served    float64 // number of requests completed so far

	// Used only if the endpoint shares its cores among all requests.
	sharedTasks      []*task // all requests in flight
	workCountedUntil float64 // ms; time up to which completed work has been subtracted from the requests
	timerGeneration  uint64  // number of the latest completion timer; earlier timers are ignored

	// Overload during warm-up. A collapsed process no longer answers requests.
	overload  endpoint.WarmUpLoad
	collapsed bool

	// Load report: the metrics sent with answers, the metrics that replace them after the report lag, and the counters
	// at the last report.
	load           []wire.LoadMetric
	nextLoad       []wire.LoadMetric
	reportedBusyMs float64
	reportedServed float64
}

// task is a request that has arrived at an endpoint. answer sends the response to the proxy, with the time in ms
// after which a rejected request may be retried.
type task struct {
	request *wire.Request
	workMs  float64 // remaining work, as time on a core of speed 1
	answer  func(outcome wire.Outcome, retryAfterMs float64, load []wire.LoadMetric)
}

// endpointSeedStep is the distance between the endpoint seeds of consecutive scenario seeds, so that runs with
// consecutive seeds do not share random sequences.
const endpointSeedStep = 7919

// disciplineSharing is the value of scenario.Group.Discipline for endpoints whose requests share the cores.
const disciplineSharing = "sharing"

// addEndpoint creates and starts an endpoint of the scenario group with the given index. A cold endpoint warms up
// after its start.
func (w *World) addEndpoint(name string, group int, cold bool) {
	g := w.Scenario.Groups[group]
	speed := g.Speed * math.Exp(g.SpeedSpread*w.random.NormFloat64())
	model := endpoint.FromScenario(w.Scenario, group, name, speed)
	seed := uint64(w.Scenario.Seed*endpointSeedStep + len(w.endpoints))
	added := &emulatedEndpoint{
		Model:       model,
		w:           w,
		location:    location{name: name, zone: g.Zone},
		random:      rand.New(rand.NewPCG(seed, endpointStream)),
		sharesCores: g.Discipline == disciplineSharing,
		thrash:      g.OverloadSlowdown,
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

// start starts a new process, which warms up first if cold is set.
func (e *emulatedEndpoint) start(cold bool) {
	e.starts++
	e.process = &endpointProcess{
		startedAt:        e.w.now,
		cold:             cold,
		connections:      map[string]bool{},
		workCountedUntil: e.w.now,
	}
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

// kill ends the process. Its connections break, so that the attempts in flight fail at the proxies.
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

// age returns the time since a process started.
func (e *emulatedEndpoint) age(process *endpointProcess) time.Duration {
	return time.Duration((e.w.now - process.startedAt) * float64(time.Millisecond))
}

// speedFactor returns the fraction of the endpoint's nominal speed at which a process works. It is reduced during
// warm-up and by requests in flight beyond the number of cores.
func (e *emulatedEndpoint) speedFactor(process *endpointProcess) float64 {
	factor := e.SpeedFraction(process.cold, e.age(process))
	excess := process.inFlight - e.Cores
	if e.thrash > 0 && excess > 0 {
		factor /= 1 + e.thrash*float64(excess)
	}
	return factor
}

// connect opens a connection from a proxy. It returns whether the connection is accepted, and the duration of the
// handshake in ms, which is 0 for a connection that is already open.
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

// dialDelayMs returns the delay in ms that a fault adds to each new connection; 0 without such a fault.
func (e *emulatedEndpoint) dialDelayMs() float64 { return e.w.dialDelayMs[e.Name] }

// accept handles an arriving request. Depending on the load and the injected fault, the request is processed,
// rejected, failed or never answered.
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

// assignCore starts processing a request if a core is free or cores are shared, and queues it otherwise.
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

// overloaded adds the work of an arriving request to the warm-up load of a cold process, and returns whether the
// process has collapsed under it. A process that started warm never collapses.
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

// runOnCore occupies a core with a request until it is complete, then starts the next queued request.
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

// finish completes a request: it logs the effect and answers it with success. A deduplicated repeat is answered
// without a second effect.
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
