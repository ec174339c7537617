package emulator

import (
	"indigousher/internal/baseline"
	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
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

// pilotProcess is one process: the shipped runtime, driven by the clock.
type pilotProcess struct {
	pilot          *emulatedPilot
	startedAt      float64 // when its own clock showed 0
	core           *controller.Core
	inputs         []controller.Input
	turnScheduled  bool
	wakeAt         float64
	wakeNumber     uint64
	uncommitted    []record.Turn // not kept yet
	pendingReports int           // since the last decision that was traced
	firstReport    float64
}

func (s *emulatedPilot) running() bool { return s.process != nil }

// clockEpsilonMs is less than anything that counts, in ms.
const clockEpsilonMs = 1e-6

// settleMs is how long after a start its lines are counted.
const settleMs = 10_000

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
	s.w.countStopped(r)
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
		if s.process.pendingReports++; s.process.pendingReports == 1 {
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

// reload hands the running pilot a channel of another pace.
func (r *pilotProcess) reload(times float64) {
	t := &r.pilot.settings
	t.LinesPerS *= times
	r.pilot.post(controller.SettingsChanged{Settings: t.ReloadableSettings()})
}
