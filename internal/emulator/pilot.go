package emulator

import (
	"indigousher/internal/baseline"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// emulatedPilot is a pilot; its process can end and come back.
type emulatedPilot struct {
	w           *World
	location    location
	rank        int // its number among the pilots
	settings    config.Pilot
	process     *pilotProcess // nil while it does not run
	streams     map[*stream]bool
	pausedUntil float64 // ms; its loop stands still until then
	Starts      []Start // of its processes

	// The record, as committed.
	storedTurns       []record.Turn
	storedAt          float64 // ms; last commit
	storedFingerprint string  // of what decided then
}

// pilotProcess is one process of a pilot: the shipped runtime, driven by virtual time.
type pilotProcess struct {
	pilot     *emulatedPilot
	startedAt float64 // ms; when the process's own clock showed 0
	core      *controller.Core

	// The loop. Inputs of one moment are handled in one turn.
	inputs          []controller.Input
	turnScheduled   bool
	wakeAt          float64 // ms; when the next timer fires, noWake: none is set
	timerGeneration uint64  // of the last timer; earlier ones are void

	uncommitted []record.Turn

	// For the tracer: load reports since the last decision that was traced, and when the first of them came.
	pendingReports int
	firstReport    float64
}

const (
	// clockEpsilonMs is added to the loop's clock, so that rounding does not leave what is due for ever just ahead. It
	// is less than any time that counts.
	clockEpsilonMs = 1e-6
	// settleMs is how long after a start the lines sent since are counted.
	lineCountWindowMs = 10_000
	// noWake is pilotProcess.wakeAt where no timer is set.
	noWake = -1
	// farAheadMs is further ahead than any run lasts; no timer is set for what is due then.
	maxTimerDelayMs = 1e9
)

func (p *emulatedPilot) running() bool { return p.process != nil }

// start begins a process, recovered from the record where the scenario has pilots record.
func (p *emulatedPilot) start() {
	p.w.logEvent(p.location.name, eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: p.location.zone})
	process := &pilotProcess{pilot: p, startedAt: p.w.now, wakeAt: noWake}
	p.process = process
	options := p.controllerOptions(process)
	begun := Start{AtMs: p.w.now}
	if p.w.Scenario.Record {
		options = p.recoverCore(options, process, &begun)
	}
	if process.core == nil {
		process.core = controller.NewCore(options)
	}
	if oracle, ok := options.Decider.(*baseline.Oracle); ok {
		oracle.SetTrueLoad(func(endpoint int) (float64, bool) {
			return p.w.trueLoad(process.core.EndpointName(endpoint))
		})
	}
	p.Starts = append(p.Starts, begun)
	p.scheduleLineCount(process, len(p.Starts)-1)
	process.turn()
	p.w.registry.sendSnapshot(p, process)
}

// startUnlessRunning begins a process after a fault, unless another fault's end has begun one.
func (p *emulatedPilot) startUnlessRunning() {
	if p.process == nil {
		p.start()
	}
}

// controllerOptions returns the options of the runtime for a process, as the shipped daemon sets them.
func (p *emulatedPilot) controllerOptions(process *pilotProcess) controller.Options {
	s := &p.settings
	plannerSettings := s.PlannerSettings(p.rank)
	return controller.Options{
		Decider:        p.w.Decide(int64(s.Seed), plannerSettings),
		Settings:       plannerSettings,
		Zones:          s.Zones,
		Machines:       s.Machines,
		Classes:        s.ClassNames(),
		LinesPerS:      s.LinesPerS,
		Backlog:        s.Backlog,
		HeadLines:      s.HeadLines,
		MaxMessages:    s.MessagesMost,
		MessagesOverMs: float64(s.MessagesOver.Milliseconds()),
		Telemetry:      s.TelemetryOptions(),
		MaxProxies:     s.MostProxies,
		EndpointSource: endpointSource{pilot: p, process: process},
		HealthChecker:  healthChecker{pilot: p, process: process},
		Gossip:         gossip{pilot: p},
		Log:            func(text string) { p.w.logLine(p, text) },
		Malformed:      func(what string, _ ...string) { p.w.countMalformed(what) },
	}
}

// scheduleLineCount notes how many lines a process sent in its first time.
func (p *emulatedPilot) scheduleLineCount(process *pilotProcess, start int) {
	p.w.After(lineCountWindowMs, func() {
		if p.process == process {
			p.Starts[start].LinesSent = process.core.Channel.Sent
		}
	})
}

// stop ends the process. One that is killed loses what it has not committed; one that is asked commits first.
func (p *emulatedPilot) stop(kill bool) {
	process := p.process
	if process == nil {
		return
	}
	if !kill && p.w.Scenario.Record {
		p.commit(process)
	}
	p.process = nil
	p.w.logEvent(p.location.name, eventlog.Event{What: eventlog.Stop})
	p.w.addPilotCounters(process)
	for _, s := range p.w.streamsOf(p) {
		s.end(true)
	}
}

// post hands an input to the loop; inputs of one moment are handled in one turn.
func (p *emulatedPilot) post(input controller.Input) {
	process := p.process
	if process == nil {
		return
	}
	process.inputs = append(process.inputs, input)
	if process.turnScheduled {
		return
	}
	process.turnScheduled = true
	p.w.At(max(p.w.now, p.pausedUntil), func() {
		if p.process == process {
			process.turn()
		}
	})
}

// report hands a load report to telemetry without a turn of the loop, as the shipped transports do.
func (p *emulatedPilot) report(s *stream, sums *wire.LoadReport) {
	process := p.process
	if process == nil {
		return
	}
	process.pendingReports++
	if process.pendingReports == 1 {
		process.firstReport = p.w.now
	}
	process.core.Report(p.w.now-process.startedAt, s, sums)
	process.scheduleWake()
}

// reload changes the rate of the running pilot's channel by a factor.
func (p *emulatedPilot) reload(factor float64) {
	p.settings.LinesPerS *= factor
	p.post(controller.SettingsChanged{Settings: p.settings.ReloadableSettings()})
}

// turn is one turn of the loop.
func (pp *pilotProcess) turn() {
	pp.turnScheduled = false
	w := pp.pilot.w
	now := w.now - pp.startedAt + clockEpsilonMs
	elapsed := stopwatch()
	inputs := pp.inputs
	pp.inputs = nil
	pp.core.Handle(now, inputs)
	pp.core.Channel.Send(now)
	w.PilotMs += elapsed()
	pp.scheduleWake()
}

// scheduleWake sets the timer for a turn when the core or the channel has something due, unless an earlier one is set.
func (pp *pilotProcess) scheduleWake() {
	pilot := pp.pilot
	w := pilot.w
	due := pp.startedAt + min(pp.core.Due(), pp.core.Channel.Due())
	if pp.wakeAt >= w.now && pp.wakeAt <= due {
		return
	}
	pp.timerGeneration++
	number := pp.timerGeneration
	if due-w.now > maxTimerDelayMs {
		pp.wakeAt = noWake
		return
	}
	pp.wakeAt = max(due, pilot.pausedUntil)
	w.At(pp.wakeAt, func() {
		if pilot.process == pp && pp.timerGeneration == number {
			pp.wakeAt = noWake
			pp.turn()
		}
	})
}
