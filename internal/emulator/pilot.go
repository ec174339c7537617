package emulator

import (
	"fmt"

	"indigousher/internal/baseline"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
	"indigousher/recovery"
)

// emulatedPilot is a pilot's place; its process can die and come back.
type emulatedPilot struct {
	w                 *World
	place             place
	rank              int
	settings          config.Pilot
	process           *pilotProcess
	streams           map[*stream]bool
	storedTurns       []record.Turn // of the last life, as kept
	storedAt          float64       // when it was last written
	storedFingerprint string        // fingerprint of what decided then
	pausedUntil       float64       // until when its loop stands still
	Starts            []Start
}

// Start is how a pilot's process began.
type Start struct {
	AtMs      float64
	Verdict   recovery.Decision
	Replayed  int // turns
	TookMs    float64
	LinesSent int // by settleMs after
}

// pilotProcess is one process: the shipped runtime, driven by the clock.
type pilotProcess struct {
	pilot         *emulatedPilot
	startedAt     float64 // when its own clock showed 0
	core          *controller.Core
	inputs        []controller.Input
	turnScheduled bool
	wakeAt        float64
	wakeNumber    uint64
	uncommitted   []record.Turn // not kept yet
	reports       int           // since the last decision that was traced
	firstReport   float64
}

func (s *emulatedPilot) runs() bool { return s.process != nil }

// clockEpsilonMs is less than anything that counts, in ms.
const clockEpsilonMs = 1e-6

// settleMs is how long after a start its lines are counted.
const settleMs = 10_000

// commitEveryMs is how often the record is committed.
const commitEveryMs = 200

// start begins a process, on the record of the last life where the day has pilots record.
func (s *emulatedPilot) start() {
	w := s.w
	w.logEvent(s.place.name, eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: s.place.zone})
	r := &pilotProcess{pilot: s, startedAt: w.now, wakeAt: -1}
	s.process = r
	told := s.settings.PlannerSettings(s.rank)
	plan := controller.Options{Decider: w.decide(int64(s.settings.Seed), told), Settings: told, Zones: s.settings.Zones, Machines: s.settings.Machines,
		Classes: s.settings.ClassNames(), LinesPerS: s.settings.LinesPerS, Backlog: s.settings.Backlog, HeadLines: s.settings.HeadLines,
		MaxMessages: s.settings.MessagesMost, MessagesOverMs: float64(s.settings.MessagesOver.Milliseconds()), Telemetry: s.settings.TelemetryOptions(),
		MaxProxies: s.settings.MostProxies, EndpointSource: endpointSource{s, r}, HealthChecker: healthChecker{s, r}, Gossip: gossip{s, r},
		Log: func(text string) { w.logLine(s, text) }, Malformed: func(what string, fields ...string) { w.countMalformed(what, fields) }}
	begin := Start{AtMs: w.now}
	if w.Scenario.Record {
		plan = s.recover(plan, r, &begin)
	}
	if r.core == nil {
		r.core = controller.NewCore(plan)
	}
	if o, is := plan.Decider.(*baseline.Oracle); is {
		o.Know(func(i int) (float64, bool) { return w.trueLoad(r.core.EndpointName(i)) })
	}
	s.Starts = append(s.Starts, begin)
	number := len(s.Starts) - 1
	w.After(settleMs, func() {
		if s.process == r {
			s.Starts[number].LinesSent = r.core.Channel.Sent
		}
	})
	r.turn()
	w.registry.sendSnapshot(s, r) // a source that streams is watched from the start
}

// recover rebuilds the core from the record if that is worth anything, and has the new life recorded.
func (s *emulatedPilot) recover(plan controller.Options, r *pilotProcess, begin *Start) controller.Options {
	w := s.w
	bounds := recovery.Limits{TailMs: float64(s.settings.RecoverTail.Milliseconds()), GapMs: float64(s.settings.RecoverWithin.Milliseconds())}
	facts := recovery.Facts{SameFormat: true, SameModule: s.storedFingerprint == w.fingerprint, SameSettings: true, Turns: len(s.storedTurns), GapMs: w.now - s.storedAt}
	from := record.ReplayStart(s.storedTurns, bounds.TailMs)
	if len(s.storedTurns) > 0 && from < len(s.storedTurns) {
		facts.Lives, facts.SpanMs = 1, max(1, s.storedTurns[len(s.storedTurns)-1].AtMs-s.storedTurns[from].AtMs)
	}
	recorder := record.NewRecorder(func(t func() *record.Turn) { r.uncommitted = append(r.uncommitted, *t()) },
		func() []controller.Input { return r.core.Checkpoint() })
	plan.OnTurn = recorder.Turn
	if begin.Verdict = recovery.Decide(facts, bounds); !begin.Verdict.Cold() {
		held := plan
		held.OnTurn, held.Replayed, held.LinesPerS, held.Backlog = nil, true, 0, 0
		held.EndpointSource, held.HealthChecker, held.Gossip = endpointSource{}, healthChecker{}, gossip{}
		held.Log, held.Malformed = func(string) {}, func(string, ...string) {}
		core := controller.NewCore(held)
		took := stopwatch()
		if err := record.Restore(core, s.storedTurns[from:]); err != nil {
			w.fail(fmt.Errorf("restore %s: %w", s.place.name, err))
		} else {
			begin.Replayed, begin.TookMs = len(s.storedTurns)-from, took()
			core.FinishRecovery(plan)
			r.core, r.startedAt = core, w.now-core.Now()-begin.Verdict.AwayMs
		}
	}
	s.storedTurns, s.storedFingerprint = nil, w.fingerprint
	s.scheduleCommit(r)
	return plan
}

// scheduleCommit commits what was recorded, now and then.
func (s *emulatedPilot) scheduleCommit(r *pilotProcess) {
	s.w.After(commitEveryMs, func() {
		if s.process != r {
			return
		}
		s.commit(r)
		s.scheduleCommit(r)
	})
}

// commit puts what was written on the disk; of what is older than any rebuild needs nothing is kept.
func (s *emulatedPilot) commit(r *pilotProcess) {
	s.storedTurns, s.storedAt, r.uncommitted = append(s.storedTurns, r.uncommitted...), s.w.now, nil
	if from := record.ReplayStart(s.storedTurns, 2*float64(s.settings.RecoverTail.Milliseconds())); from > 0 && from < len(s.storedTurns) {
		s.storedTurns = append([]record.Turn{}, s.storedTurns[from:]...)
	}
}

// stop ends the process: by force what was not committed is lost, asked it commits first.
func (s *emulatedPilot) stop(force bool) {
	r := s.process
	if r == nil {
		return
	}
	if !force && s.w.Scenario.Record {
		s.commit(r)
	}
	s.process = nil
	s.w.logEvent(s.place.name, eventlog.Event{What: eventlog.Stop})
	s.w.pilotStopped(r)
	for _, st := range s.w.streamsOf(s) {
		st.end(true)
	}
}

// post hands an input to the loop; those of one moment are handled together.
func (s *emulatedPilot) post(in controller.Input) {
	r := s.process
	if r == nil {
		return
	}
	r.inputs = append(r.inputs, in)
	if !r.turnScheduled {
		r.turnScheduled = true
		s.w.At(max(s.w.now, s.pausedUntil), func() {
			if s.process == r {
				r.turn()
			}
		})
	}
}

// report takes sums past the loop, as on sockets.
func (s *emulatedPilot) report(st *stream, sums *wire.Sums) {
	if s.process != nil {
		if s.process.reports++; s.process.reports == 1 {
			s.process.firstReport = s.w.now
		}
		s.process.core.Report(s.w.now-s.process.startedAt, st, sums)
		s.process.scheduleWake()
	}
}

// turn is one turn of the loop.
func (r *pilotProcess) turn() {
	r.turnScheduled = false
	w := r.pilot.w
	now := w.now - r.startedAt + clockEpsilonMs // else rounding could leave what is due just ahead for ever
	took := stopwatch()
	inputs := r.inputs
	r.inputs = nil
	r.core.Handle(now, inputs)
	r.core.Channel.Send(now)
	w.PilotMs += took()
	r.scheduleWake()
}

// scheduleWake wakes when something is due.
func (r *pilotProcess) scheduleWake() {
	due := r.startedAt + min(r.core.Due(), r.core.Channel.Due())
	if r.wakeAt >= r.pilot.w.now && r.wakeAt <= due {
		return
	}
	r.wakeNumber++
	number, s := r.wakeNumber, r.pilot
	r.wakeAt = max(due, s.pausedUntil)
	if due-s.w.now > 1e9 { // nothing in sight
		r.wakeAt = -1
		return
	}
	s.w.At(r.wakeAt, func() {
		if s.process == r && r.wakeNumber == number {
			r.wakeAt = -1
			r.turn()
		}
	})
}

// endpointSource is a pilot's end of the list; its zero value does nothing.
type endpointSource struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

func (l endpointSource) Watch(on bool) {
	if l.pilot != nil && on {
		l.pilot.w.registry.watch(l.pilot, l.process)
	}
}

func (l endpointSource) Fetch() {
	if l.pilot != nil {
		l.pilot.w.registry.sendSnapshot(l.pilot, l.process)
	}
}

// healthChecker examines endpoints.
type healthChecker struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

// probeTimeoutMs is how long an answer to a probe is waited for.
const probeTimeoutMs = 1000

func (p healthChecker) Probe(name string) {
	if p.pilot == nil || !p.pilot.settings.Probing {
		return
	}
	w, m := p.pilot.w, p.pilot.w.endpointByName[name]
	answered := false
	done := func(outcome string, load []wire.Figure) {
		if answered || p.pilot.process != p.process {
			return
		}
		answered = true
		p.pilot.post(controller.HealthChecked{Endpoint: name, Outcome: outcome, Load: load})
	}
	w.After(probeTimeoutMs, func() { done("timeout", nil) })
	if m == nil {
		return
	}
	w.network.carry(p.pilot.place, m.place, func() {
		switch {
		case m.process == nil:
			w.network.carry(m.place, p.pilot.place, func() { done("unreachable", nil) })
		case !m.fault.Hang:
			load := m.process.load
			w.network.carry(m.place, p.pilot.place, func() { done("ok", load) })
		}
	})
}

// gossip carries notes between pilots; a part of them is lost where ways are lossy.
type gossip struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

func (p gossip) Tell(peer int, text string) {
	if p.pilot == nil || !p.pilot.w.Gossip {
		return
	}
	for _, other := range p.pilot.w.pilots {
		if other == p.pilot || peer >= 0 && other.rank != peer || !p.pilot.w.network.open(p.pilot.place, other.place) {
			continue
		}
		p.pilot.w.After(p.pilot.w.network.delay(p.pilot.place, other.place), func() {
			if other.process != nil {
				other.post(controller.GossipReceived{From: p.pilot.rank, Text: text})
			}
		})
	}
}

// reload hands the running pilot a channel of another pace.
func (r *pilotProcess) reload(times float64) {
	t := &r.pilot.settings
	t.LinesPerS *= times
	r.pilot.post(controller.SettingsChanged{Settings: t.ReloadableSettings()})
}
