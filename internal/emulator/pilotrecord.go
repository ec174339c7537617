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
	Replayed  int     // turns of the record
	TookMs    float64 // real time of the replay
	LinesSent int     // in the first settleMs
}

const (
	// commitEveryMs is how often the record is committed.
	commitEveryMs = 200
	// keptTails is how many times the longest replay the record reaches back at least.
	retainedReplaySpans = 2
)

// recoverCore has the process recorded, and replays the record of the last one where recovery decides so. It returns
// the options with the recorder.
func (p *emulatedPilot) recoverCore(
	options controller.Options, process *pilotProcess, begun *Start,
) controller.Options {
	limits := recovery.Limits{
		MaxReplayMs: float64(p.settings.RecoverTail.Milliseconds()),
		MaxGapMs:    float64(p.settings.RecoverWithin.Milliseconds()),
	}
	from := record.ReplayStart(p.storedTurns, limits.MaxReplayMs)
	facts := p.recoveryFacts(from)
	recorder := record.NewRecorder(
		func(turn func() *record.Turn) { process.uncommitted = append(process.uncommitted, *turn()) },
		func() []controller.Input { return process.core.Checkpoint() })
	options.OnTurn = recorder.Turn
	begun.Verdict = recovery.Decide(facts, limits)
	if !begun.Verdict.Cold() {
		p.replay(options, process, begun, from)
	}
	p.storedTurns = nil
	p.storedFingerprint = p.w.fingerprint
	p.scheduleCommit(process)
	return options
}

// recoveryFacts describes the record from a turn on.
func (p *emulatedPilot) recoveryFacts(from int) recovery.RecordInfo {
	facts := recovery.RecordInfo{
		SameFormat:   true,
		SamePlanner:  p.storedFingerprint == p.w.fingerprint,
		SameSettings: true,
		Turns:        len(p.storedTurns),
		GapMs:        p.w.now - p.storedAt,
	}
	if last := len(p.storedTurns) - 1; from <= last {
		facts.Runs = 1
		facts.SpanMs = max(1, p.storedTurns[last].AtMs-p.storedTurns[from].AtMs)
	}
	return facts
}

// replay rebuilds the core of a process from the record. Nothing that is decided meanwhile leaves the core.
func (p *emulatedPilot) replay(options controller.Options, process *pilotProcess, begun *Start, from int) {
	silent := options
	silent.OnTurn = nil
	silent.Replayed = true
	silent.LinesPerS = 0
	silent.Backlog = 0
	silent.EndpointSource = endpointSource{}
	silent.HealthChecker = healthChecker{}
	silent.Gossip = gossip{}
	silent.Log = func(string) {}
	silent.Malformed = func(string, ...string) {}
	core := controller.NewCore(silent)
	elapsed := stopwatch()
	if err := record.Restore(core, p.storedTurns[from:]); err != nil {
		p.w.fail(fmt.Errorf("restore %s: %w", p.location.name, err))
		return
	}
	begun.Replayed = len(p.storedTurns) - from
	begun.TookMs = elapsed()
	core.FinishRecovery(options)
	process.core = core
	process.startedAt = p.w.now - core.Now() - begun.Verdict.DowntimeMs
}

// scheduleCommit commits the record from time to time, until the process ends.
func (p *emulatedPilot) scheduleCommit(process *pilotProcess) {
	p.w.After(commitEveryMs, func() {
		if p.process != process {
			return
		}
		p.commit(process)
		p.scheduleCommit(process)
	})
}

// commit stores what has been recorded, and drops what is older than any replay needs.
func (p *emulatedPilot) commit(process *pilotProcess) {
	p.storedTurns = append(p.storedTurns, process.uncommitted...)
	p.storedAt = p.w.now
	process.uncommitted = nil
	from := record.ReplayStart(p.storedTurns, retainedReplaySpans*float64(p.settings.RecoverTail.Milliseconds()))
	if from > 0 && from < len(p.storedTurns) {
		p.storedTurns = append([]record.Turn{}, p.storedTurns[from:]...)
	}
}
