package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"hash/crc64"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// Result summarizes a replay.
type Result struct {
	Turns  int     // number of replayed turns, without checkpoints
	Events int     // number of events passed to the planner
	Gaps   int     // number of gaps in the record
	SpanMs float64 // time from the first turn to the last, in ms

	MessagesDigest uint64 // digest of all messages and the proxies they were sent to
	Messages       int    // number of messages sent to proxies
	Lines          int    // number of table lines in these messages

	Exclusions        int // number of exclusions of endpoints
	Sets              int // number of weights set
	Removals          int // number of weights set to zero, which removes the line; included in Sets
	ReducedAdmissions int // number of admission levels set to less than 1
	Assignments       int // number of tables assigned to proxies
	MaxQueuedLines    int // maximum number of lines in the channel at a time

	Estimate  Estimate
	FirstDiff string // first turn whose commands differ from the record; "": none, or not compared
}

// NewDecider creates the planner of a replay from a seed and the planner's settings.
type NewDecider func(seed int64, settings map[string]any) controller.Decider

// lifeReplay is the state of a replay in progress.
type lifeReplay struct {
	result         *Result
	core           *controller.Core
	decider        *countingDecider
	replayer       *replayer
	sentHash       hash.Hash64 // of all messages to proxies
	compareDigests bool        // compare the digest of each turn's commands with the record
	firstMs        float64     // time of the first turn; 0 before it
	lastTurnMs     float64     // time of the latest turn
}

// Replay replays a life in a new core, in virtual time. If settings is nil, the settings at the life's start are used
// and the commands are compared with the record. Other settings lead to other commands, which are only counted, because
// the recorded answers of the endpoints don't depend on them. If the life's record is damaged, the result covers the
// turns before the damage, and the error wraps ErrCorrupt.
func Replay(s *Store, l Life, settings map[string]any, newDecider NewDecider) (*Result, error) {
	useRecorded := settings == nil
	if useRecorded {
		var err error
		if settings, err = recordedSettings(l); err != nil {
			return nil, err
		}
	}
	r, err := newLifeReplay(s, l, settings, newDecider)
	if err != nil {
		return nil, err
	}
	r.compareDigests = useRecorded
	err = s.Read(l.ID, r.replayChunk)
	r.finish()
	if errors.Is(err, ErrCorrupt) {
		return r.result, fmt.Errorf("replay of life %s stopped after %d turns: %w", l.ID, r.result.Turns, err)
	}
	return r.result, err
}

// recordedSettings returns the planner's settings at the start of a life.
func recordedSettings(l Life) (map[string]any, error) {
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(l.Settings), &settings); err != nil {
		return nil, fmt.Errorf("decode settings of life %s: %w", l.ID, err)
	}
	return settings, nil
}

// newLifeReplay prepares a replay in a new core. If the recorded life began with a recovery, it restores the same
// state.
func newLifeReplay(s *Store, l Life, settings map[string]any, newDecider NewDecider) (*lifeReplay, error) {
	r := &lifeReplay{result: &Result{}, sentHash: crc64.New(crcTable)}
	r.decider = &countingDecider{Decider: newDecider(l.Seed, settings), result: r.result}
	options, err := optionsFromSettings(settings)
	if err != nil {
		return nil, err
	}
	options.Decider = r.decider
	options.Settings = settings
	r.core = controller.NewCore(options)
	r.decider.estimator = newEstimator(r.core.Shares)
	if l.RestoredFrom != "" {
		if err := r.restore(s, l, options); err != nil {
			return nil, err
		}
	}
	r.replayer = newReplayer(r.core, r.countMessage)
	return r, nil
}

// restore rebuilds the core's state from the end of the previous life. The turns of that life are not counted.
func (r *lifeReplay) restore(s *Store, l Life, options controller.Options) error {
	turns, _, err := ReadTail(s, l.RestoredFrom, l.TailMs)
	if err != nil {
		return err
	}
	if err := Restore(r.core, turns[ReplayStart(turns, l.TailMs):]); err != nil {
		return err
	}
	r.core.FinishRecovery(options)
	r.core.EventCount = 0
	*r.result = Result{}
	r.decider.estimator = newEstimator(r.core.Shares)
	return nil
}

// countMessage counts a message to a proxy and adds it to the digest of all messages.
func (r *lifeReplay) countMessage(proxy string, message *wire.Commands) {
	r.result.Messages++
	r.result.Lines += message.CostLines
	_, _ = fmt.Fprintf(r.sentHash, "%s %v\n", proxy, message.Ops) // writing to a hash never fails
}

// replayChunk replays the turns of a chunk. It skips checkpoints, which the control loop did not process.
func (r *lifeReplay) replayChunk(turns []Turn, gap bool) error {
	if gap {
		r.result.Gaps++
	}
	for i := range turns {
		if turns[i].IsCheckpoint() {
			continue
		}
		if err := r.replayTurn(&turns[i]); err != nil {
			return err
		}
	}
	return nil
}

// replayTurn replays one turn and, if required, compares its commands with the record.
func (r *lifeReplay) replayTurn(t *Turn) error {
	r.decider.digest = Digest(nil) // kept if the core does not call the planner in this turn
	if err := r.replayer.replay(t); err != nil {
		return err
	}
	if r.result.Turns == 0 {
		r.firstMs = t.AtMs
	}
	if r.compareDigests && r.result.FirstDiff == "" && r.decider.digest != t.Digest {
		r.result.FirstDiff = fmt.Sprintf("turn %d at %.3f s, %d inputs, first %s", r.result.Turns, t.AtMs/1000,
			len(t.Inputs), describeTurn(t))
	}
	r.result.Turns++
	r.result.MaxQueuedLines = max(r.result.MaxQueuedLines, r.core.Channel.MaxLines)
	r.lastTurnMs = t.AtMs
	return nil
}

// finish sets the fields of the result that are known only at the end.
func (r *lifeReplay) finish() {
	r.result.SpanMs = r.lastTurnMs - r.firstMs
	r.result.Events = r.core.EventCount
	r.result.MessagesDigest = r.sentHash.Sum64()
	r.result.Estimate = r.decider.estimator.result()
}

// describeTurn describes the first input of a turn for Result.FirstDiff.
func describeTurn(t *Turn) string {
	if len(t.Inputs) == 0 {
		return "an alarm"
	}
	first := t.Inputs[0]
	if first.Event != nil {
		return fmt.Sprintf("%T%+v", first.Event, first.Event)
	}
	return fmt.Sprintf("%T%+v", first.Message, first.Message)
}
