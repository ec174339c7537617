package emulator

import (
	"fmt"

	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/recovery"
)

// PilotStart describes the start of a pilot process and its recovery from the record.
type PilotStart struct {
	AtMs             float64           // time of the run
	RecoveryDecision recovery.Decision // whether the record was replayed; the zero value if pilots keep no record
	Replayed         int               // number of turns replayed from the record
	TookMs           float64           // real time taken by the replay
	LinesSent        int               // lines sent in the first lineCountWindowMs
}

const (
	// commitEveryMs is the interval in ms between commits of the record.
	commitEveryMs = 200
	// retainedReplaySpans is how far back the record is kept, as a multiple of the longest span that a recovery may
	// replay.
	retainedReplaySpans = 2
)

// recoverCore starts recording the turns of the process. If recovery allows it, it also replays the record of the
// previous process. It returns the options with the recorder installed, and completes pilotStart.
func (p *emulatedPilot) recoverCore(
	options controller.Options, process *pilotProcess, pilotStart *PilotStart,
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
	pilotStart.RecoveryDecision = recovery.Decide(facts, limits)
	if !pilotStart.RecoveryDecision.Cold() {
		p.replay(options, process, pilotStart, from)
	}
	p.storedTurns = nil
	p.storedFingerprint = p.w.fingerprint
	p.scheduleCommit(process)
	return options
}

// recoveryFacts describes the part of the record that begins at turn index from, as input to the recovery decision.
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

// replay rebuilds the core of a process from the record, beginning at turn index from. Commands, requests and log
// lines that the core produces during the replay are discarded.
func (p *emulatedPilot) replay(options controller.Options, process *pilotProcess, pilotStart *PilotStart, from int) {
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
	pilotStart.Replayed = len(p.storedTurns) - from
	pilotStart.TookMs = elapsed()
	core.FinishRecovery(options)
	process.core = core
	process.startedAt = p.w.now - core.Now() - pilotStart.RecoveryDecision.DowntimeMs
}

// scheduleCommit commits the record every commitEveryMs until the process ends.
func (p *emulatedPilot) scheduleCommit(process *pilotProcess) {
	p.w.After(commitEveryMs, func() {
		if p.process != process {
			return
		}
		p.commit(process)
		p.scheduleCommit(process)
	})
}

// commit stores the recorded turns and drops turns that are older than any recovery can need.
func (p *emulatedPilot) commit(process *pilotProcess) {
	p.storedTurns = append(p.storedTurns, process.uncommitted...)
	p.storedAt = p.w.now
	process.uncommitted = nil
	from := record.ReplayStart(p.storedTurns, retainedReplaySpans*float64(p.settings.RecoverTail.Milliseconds()))
	if from > 0 && from < len(p.storedTurns) {
		p.storedTurns = append([]record.Turn{}, p.storedTurns[from:]...)
	}
}
