package emulator

import (
	"indigousher/internal/baseline"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// emulatedPilot is a pilot. Its processes can be stopped and restarted during a run.
type emulatedPilot struct {
	w           *World
	location    location
	rank        int // index among the pilots, from 0
	settings    config.Pilot
	process     *pilotProcess    // nil while the pilot is not running
	streams     map[*stream]bool // open streams from proxies
	pausedUntil float64          // ms; the loop takes no turn before this time
	Starts      []PilotStart     // one for each process, in order

	// The committed part of the record.
	storedTurns       []record.Turn
	storedAt          float64 // ms; time of the last commit
	storedFingerprint string  // fingerprint of the planner that made the record
}

// pilotProcess is one process of a pilot. It runs the production runtime in virtual time.
type pilotProcess struct {
	pilot     *emulatedPilot
	startedAt float64 // ms; time of the run at which the process's own clock was 0
	core      *controller.Core

	// State of the event loop. Inputs that arrive at the same time are handled in one turn.
	inputs          []controller.Input
	turnScheduled   bool
	wakeAt          float64 // ms; time of the next timer; noWake: no timer is set
	timerGeneration uint64  // number of the latest timer; earlier timers are ignored

	uncommitted []record.Turn // turns recorded since the last commit

	// For the tracer: number of load reports since the last traced decision, and arrival time in ms of the first one.
	pendingReports int
	firstReport    float64
}

const (
	// clockEpsilonMs is added to the time that the loop sees. Without it, rounding could leave a due timer just ahead of
	// the clock forever. It is far smaller than any interval in a scenario.
	clockEpsilonMs = 1e-6
	// lineCountWindowMs is the time in ms after a process's start over which PilotStart.LinesSent is counted.
	lineCountWindowMs = 10_000
	// noWake is the value of pilotProcess.wakeAt if no timer is set.
	noWake = -1
	// maxTimerDelayMs is longer than any run. No timer is set for a time further ahead.
	maxTimerDelayMs = 1e9
)

// running reports whether the pilot has a process.
func (p *emulatedPilot) running() bool { return p.process != nil }

// start starts a process. If pilots keep a record in this scenario, the process may recover its state from it.
func (p *emulatedPilot) start() {
	p.w.logEvent(p.location.name, eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: p.location.zone})
	process := &pilotProcess{pilot: p, startedAt: p.w.now, wakeAt: noWake}
	p.process = process
	options := p.controllerOptions(process)
	pilotStart := PilotStart{AtMs: p.w.now}
	if p.w.Scenario.Record {
		options = p.recoverCore(options, process, &pilotStart)
	}
	if process.core == nil {
		process.core = controller.NewCore(options)
	}
	if oracle, ok := options.Decider.(*baseline.Oracle); ok {
		oracle.SetTrueLoad(func(endpoint int) (float64, bool) {
			return p.w.trueLoad(process.core.EndpointName(endpoint))
		})
	}
	p.Starts = append(p.Starts, pilotStart)
	p.scheduleLineCount(process, len(p.Starts)-1)
	process.turn()
	p.w.registry.sendSnapshot(p, process)
}

// startUnlessRunning starts a process after a fault. It does nothing if the end of an overlapping fault has already
// started one.
func (p *emulatedPilot) startUnlessRunning() {
	if p.process == nil {
		p.start()
	}
}

// controllerOptions returns the runtime options of a process, set as in the production daemon.
func (p *emulatedPilot) controllerOptions(process *pilotProcess) controller.Options {
	s := &p.settings
	plannerSettings := s.PlannerSettings(p.rank)
	return controller.Options{
		Decider:         p.w.Decide(int64(s.Seed), plannerSettings),
		Settings:        plannerSettings,
		Zones:           s.Zones,
		Machines:        s.Machines,
		Classes:         s.ClassNames(),
		LinesPerS:       s.LinesPerS,
		Backlog:         s.Backlog,
		MessageOverhead: s.HeadLines,
		MaxMessages:     s.MessagesMost,
		MessageWindowMs: float64(s.MessagesOver.Milliseconds()),
		Telemetry:       s.TelemetryOptions(),
		MaxProxies:      s.MostProxies,
		EndpointSource:  endpointSource{pilot: p, process: process},
		HealthChecker:   healthChecker{pilot: p, process: process},
		Gossip:          gossip{pilot: p},
		Log:             func(text string) { p.w.logLine(p, text) },
		Malformed:       func(what string, _ ...string) { p.w.countMalformed(what) },
	}
}

// scheduleLineCount sets LinesSent of the given start after lineCountWindowMs, unless the process has ended by then.
func (p *emulatedPilot) scheduleLineCount(process *pilotProcess, start int) {
	p.w.After(lineCountWindowMs, func() {
		if p.process == process {
			p.Starts[start].LinesSent = process.core.Channel.LinesSent
		}
	})
}

// stop ends the process and its streams. A killed process loses its uncommitted turns; a process that stops
// gracefully commits them first.
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

// post queues an input for the loop and schedules a turn. Inputs that arrive at the same time are handled in one
// turn.
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

// report passes a load report to telemetry without a turn of the loop, as the production transports do.
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

// reload multiplies the rate of the pilot's channel by a factor and applies the changed settings to the running
// process.
func (p *emulatedPilot) reload(factor float64) {
	p.settings.LinesPerS *= factor
	p.post(controller.SettingsChanged{Settings: p.settings.ReloadableSettings()})
}

// turn runs one turn of the loop: it handles the queued inputs and due timers and sends the resulting commands.
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

// scheduleWake sets a timer for the next turn at which the core or the channel is due, unless a timer is already set
// for that time or earlier.
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
