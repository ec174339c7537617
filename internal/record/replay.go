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

// Result is what a replay commanded.
type Result struct {
	Turns  int     // replayed, checkpoints left out
	Events int     // events that the planner got
	Gaps   int     // in the record
	SpanMs float64 // from the first turn to the last

	Tables   uint64 // digest of all that was sent to each proxy
	Messages int    // sent
	Lines    int    // in these

	Exclusions     int // endpoints excluded
	Sets           int // weights set
	Removals       int // of these, weights of zero: lines removed
	Levels         int // admission levels below 1 that were set
	Assignments    int // tables assigned
	MaxQueuedLines int // lines in the channel at once

	Estimate  Estimate
	FirstDiff string // where the replay first commanded otherwise than the record; "": nowhere
}

// NewDecider makes the planner of a replay.
type NewDecider func(seed int64, settings map[string]any) controller.Decider

// lifeReplay is a replay under way.
type lifeReplay struct {
	result         *Result
	core           *controller.Core
	decider        *countingDecider
	replayer       *replayer
	sentHash       hash.Hash64 // of all messages
	compareDigests bool        // hold the commands against the record
	firstMs        float64     // when the first turn was, once there is one
	lastTurnMs     float64
}

// Replay feeds a life to a core in virtual time. Without settings, nil, its own are used and commands are held against
// the record. With others they can only be looked at, as the endpoints' answers are those of the recorded day. If the
// life's record is damaged, the result covers what can be read and comes with ErrCorrupt.
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
		return r.result, fmt.Errorf("%s after %d turns: %w", l.ID, r.result.Turns, err)
	}
	return r.result, err
}

// ownSettings returns the planner's settings at a life's start.
func recordedSettings(l Life) (map[string]any, error) {
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(l.Settings), &settings); err != nil {
		return nil, fmt.Errorf("read terms of %s: %w", l.ID, err)
	}
	return settings, nil
}

// newLifeReplay returns a replay at its start: a new core, rebuilt from the life before if the recorded one was.
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
	if l.After != "" {
		if err := r.restore(s, l, options); err != nil {
			return nil, err
		}
	}
	r.replayer = newReplayer(r.core, r.countMessage)
	return r, nil
}

// restore rebuilds the core from the end of the life before, of which nothing is counted.
func (r *lifeReplay) restore(s *Store, l Life, options controller.Options) error {
	turns, _, err := ReadTail(s, l.After, l.TailMs)
	if err != nil {
		return err
	}
	if err := Restore(r.core, turns[ReplayStart(turns, l.TailMs):]); err != nil {
		return err
	}
	r.core.FinishRecovery(options)
	r.core.Events = 0
	*r.result = Result{}
	r.decider.estimator = newEstimator(r.core.Shares)
	return nil
}

// countMessage takes in a message that goes to a proxy.
func (r *lifeReplay) countMessage(proxy string, message *wire.Orders) {
	r.result.Messages++
	r.result.Lines += message.Lines
	_, _ = fmt.Fprintf(r.sentHash, "%s %v\n", proxy, message.Ops) // writes to a hash don't fail
}

// replayChunk replays a chunk's turns but for checkpoints, which are no part of the life.
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

func (r *lifeReplay) replayTurn(t *Turn) error {
	r.decider.digest = Digest(nil) // of a turn in which the planner is not asked
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

// finish completes the result.
func (r *lifeReplay) finish() {
	r.result.SpanMs = r.lastTurnMs - r.firstMs
	r.result.Events = r.core.Events
	r.result.Tables = r.sentHash.Sum64()
	r.result.Estimate = r.decider.estimator.result()
}

// describeTurn shows the first input of a turn to people.
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
