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

// seat is a pilot's place; its process can die and come back.
type seat struct {
	w       *World
	place   place
	rank    int
	terms   config.Pilot
	run     *pilotRun
	streams map[*stream]bool
	disk    []record.Turn // of the last life, as kept
	diskAt  float64       // when it was last written
	diskOf  string        // fingerprint of what decided then
	paused  float64       // until when its loop stands still
	Starts  []Start
}

// Start is how a pilot's process began.
type Start struct {
	AtMs      float64
	Verdict   recovery.Decision
	Replayed  int // turns
	TookMs    float64
	LinesSent int // by settleMs after
}

// pilotRun is one process: the shipped runtime, driven by the clock.
type pilotRun struct {
	s           *seat
	born        float64 // when its own clock showed 0
	core        *controller.Core
	inputs      []controller.Input
	turning     bool
	wakeAt      float64
	wake        uint64
	written     []record.Turn // not kept yet
	reports     int           // since the last decision that was traced
	firstReport float64
}

func (s *seat) runs() bool { return s.run != nil }

// grain is less than anything that counts, in ms.
const grain = 1e-6

// settleMs is how long after a start its lines are counted.
const settleMs = 10_000

// keepMs is how often the record is committed.
const keepMs = 200

// start begins a process, on the record of the last life where the day has pilots record.
func (s *seat) start() {
	w := s.w
	w.note(s.place.name, eventlog.Event{What: eventlog.Start, Kind: "pilot", Text: s.place.zone})
	r := &pilotRun{s: s, born: w.now, wakeAt: -1}
	s.run = r
	told := s.terms.PlannerSettings(s.rank)
	plan := controller.Options{Decider: w.decide(int64(s.terms.Seed), told), Settings: told, Zones: s.terms.Zones, Machines: s.terms.Machines,
		Classes: s.terms.ClassNames(), LinesPerS: s.terms.LinesPerS, Backlog: s.terms.Backlog, HeadLines: s.terms.HeadLines,
		MaxMessages: s.terms.MessagesMost, MessagesOverMs: float64(s.terms.MessagesOver.Milliseconds()), Telemetry: s.terms.TelemetryOptions(),
		MaxProxies: s.terms.MostProxies, EndpointSource: listEnd{s, r}, HealthChecker: probeEnd{s, r}, Gossip: peerEnd{s, r},
		Log: func(text string) { w.say(s, text) }, Malformed: func(what string, fields ...string) { w.odd(what, fields) }}
	begin := Start{AtMs: w.now}
	if w.Scenario.Record {
		plan = s.recover(plan, r, &begin)
	}
	if r.core == nil {
		r.core = controller.NewCore(plan)
	}
	if o, is := plan.Decider.(*baseline.Oracle); is {
		o.Know(func(i int) (float64, bool) { return w.truth(r.core.EndpointName(i)) })
	}
	s.Starts = append(s.Starts, begin)
	number := len(s.Starts) - 1
	w.After(settleMs, func() {
		if s.run == r {
			s.Starts[number].LinesSent = r.core.Channel.Sent
		}
	})
	r.turn()
	w.list.whole(s, r) // a source that streams is watched from the start
}

// recover rebuilds the core from the record if that is worth anything, and has the new life recorded.
func (s *seat) recover(plan controller.Options, r *pilotRun, begin *Start) controller.Options {
	w := s.w
	bounds := recovery.Limits{TailMs: float64(s.terms.RecoverTail.Milliseconds()), GapMs: float64(s.terms.RecoverWithin.Milliseconds())}
	facts := recovery.Facts{SameFormat: true, SameModule: s.diskOf == w.fingerprint, SameSettings: true, Turns: len(s.disk), GapMs: w.now - s.diskAt}
	from := record.ReplayStart(s.disk, bounds.TailMs)
	if len(s.disk) > 0 && from < len(s.disk) {
		facts.Lives, facts.SpanMs = 1, max(1, s.disk[len(s.disk)-1].AtMs-s.disk[from].AtMs)
	}
	recorder := record.NewRecorder(func(t func() *record.Turn) { r.written = append(r.written, *t()) },
		func() []controller.Input { return r.core.Checkpoint() })
	plan.OnTurn = recorder.Turn
	if begin.Verdict = recovery.Decide(facts, bounds); !begin.Verdict.Cold() {
		held := plan
		held.OnTurn, held.Replayed, held.LinesPerS, held.Backlog = nil, true, 0, 0
		held.EndpointSource, held.HealthChecker, held.Gossip = listEnd{}, probeEnd{}, peerEnd{}
		held.Log, held.Malformed = func(string) {}, func(string, ...string) {}
		core := controller.NewCore(held)
		took := stopwatch()
		if err := record.Restore(core, s.disk[from:]); err != nil {
			w.fail(fmt.Errorf("restore %s: %w", s.place.name, err))
		} else {
			begin.Replayed, begin.TookMs = len(s.disk)-from, took()
			core.FinishRecovery(plan)
			r.core, r.born = core, w.now-core.Now()-begin.Verdict.AwayMs
		}
	}
	s.disk, s.diskOf = nil, w.fingerprint
	s.keep(r)
	return plan
}

// keep commits what was recorded, now and then.
func (s *seat) keep(r *pilotRun) {
	s.w.After(keepMs, func() {
		if s.run != r {
			return
		}
		s.commit(r)
		s.keep(r)
	})
}

// commit puts what was written on the disk; of what is older than any rebuild needs nothing is kept.
func (s *seat) commit(r *pilotRun) {
	s.disk, s.diskAt, r.written = append(s.disk, r.written...), s.w.now, nil
	if from := record.ReplayStart(s.disk, 2*float64(s.terms.RecoverTail.Milliseconds())); from > 0 && from < len(s.disk) {
		s.disk = append([]record.Turn{}, s.disk[from:]...)
	}
}

// stop ends the process: by force what was not committed is lost, asked it commits first.
func (s *seat) stop(force bool) {
	r := s.run
	if r == nil {
		return
	}
	if !force && s.w.Scenario.Record {
		s.commit(r)
	}
	s.run = nil
	s.w.note(s.place.name, eventlog.Event{What: eventlog.Stop})
	s.w.pilotStopped(r)
	for _, st := range s.w.streamsOf(s) {
		st.broke(true)
	}
}

// post hands an input to the loop; those of one moment are handled together.
func (s *seat) post(in controller.Input) {
	r := s.run
	if r == nil {
		return
	}
	r.inputs = append(r.inputs, in)
	if !r.turning {
		r.turning = true
		s.w.At(max(s.w.now, s.paused), func() {
			if s.run == r {
				r.turn()
			}
		})
	}
}

// report takes sums past the loop, as on sockets.
func (s *seat) report(st *stream, sums *wire.Sums) {
	if s.run != nil {
		if s.run.reports++; s.run.reports == 1 {
			s.run.firstReport = s.w.now
		}
		s.run.core.Report(s.w.now-s.run.born, st, sums)
		s.run.sleep()
	}
}

// turn is one turn of the loop.
func (r *pilotRun) turn() {
	r.turning = false
	w := r.s.w
	now := w.now - r.born + grain // else rounding could leave what is due just ahead for ever
	took := stopwatch()
	inputs := r.inputs
	r.inputs = nil
	r.core.Handle(now, inputs)
	r.core.Channel.Send(now)
	w.PilotMs += took()
	r.sleep()
}

// sleep wakes when something is due.
func (r *pilotRun) sleep() {
	due := r.born + min(r.core.Due(), r.core.Channel.Due())
	if r.wakeAt >= r.s.w.now && r.wakeAt <= due {
		return
	}
	r.wake++
	number, s := r.wake, r.s
	r.wakeAt = max(due, s.paused)
	if due-s.w.now > 1e9 { // nothing in sight
		r.wakeAt = -1
		return
	}
	s.w.At(r.wakeAt, func() {
		if s.run == r && r.wake == number {
			r.wakeAt = -1
			r.turn()
		}
	})
}

// listEnd is a pilot's end of the list; its zero value does nothing.
type listEnd struct {
	s *seat
	r *pilotRun
}

func (l listEnd) Watch(on bool) {
	if l.s != nil && on {
		l.s.w.list.follow(l.s, l.r)
	}
}

func (l listEnd) Fetch() {
	if l.s != nil {
		l.s.w.list.whole(l.s, l.r)
	}
}

// probeEnd examines endpoints.
type probeEnd struct {
	s *seat
	r *pilotRun
}

// probeTimeoutMs is how long an answer to a probe is waited for.
const probeTimeoutMs = 1000

func (p probeEnd) Probe(name string) {
	if p.s == nil || !p.s.terms.Probing {
		return
	}
	w, m := p.s.w, p.s.w.byName[name]
	answered := false
	done := func(outcome string, load []wire.Figure) {
		if answered || p.s.run != p.r {
			return
		}
		answered = true
		p.s.post(controller.HealthChecked{Endpoint: name, Outcome: outcome, Load: load})
	}
	w.After(probeTimeoutMs, func() { done("timeout", nil) })
	if m == nil {
		return
	}
	w.ways.carry(p.s.place, m.place, func() {
		switch {
		case m.run == nil:
			w.ways.carry(m.place, p.s.place, func() { done("unreachable", nil) })
		case !m.mood.Hang:
			load := m.run.load
			w.ways.carry(m.place, p.s.place, func() { done("ok", load) })
		}
	})
}

// peerEnd carries notes between pilots; a part of them is lost where ways are lossy.
type peerEnd struct {
	s *seat
	r *pilotRun
}

func (p peerEnd) Tell(peer int, text string) {
	if p.s == nil || !p.s.w.Talk {
		return
	}
	for _, other := range p.s.w.seats {
		if other == p.s || peer >= 0 && other.rank != peer || !p.s.w.ways.open(p.s.place, other.place) {
			continue
		}
		p.s.w.After(p.s.w.ways.delay(p.s.place, other.place), func() {
			if other.run != nil {
				other.post(controller.GossipReceived{From: p.s.rank, Text: text})
			}
		})
	}
}

// reload hands the running pilot a channel of another pace.
func (r *pilotRun) reload(times float64) {
	t := &r.s.terms
	t.LinesPerS *= times
	r.s.post(controller.SettingsChanged{Settings: t.ReloadableSettings()})
}
