package emulator

import (
	"fmt"

	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/recovery"
)

// Start is how a pilot's process began.
type Start struct {
	AtMs      float64
	Verdict   recovery.Decision
	Replayed  int // turns
	TookMs    float64
	LinesSent int // by settleMs after
}

// commitEveryMs is how often the record is committed.
const commitEveryMs = 200

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
