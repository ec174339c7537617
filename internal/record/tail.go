package record

import (
	"errors"
	"fmt"
	"slices"

	"indigousher/internal/controller"
)

// ReplayStart returns the index of the turn from which a tail is to be replayed: the last start, a checkpoint or the
// life's first turn, that lies at least tailMs before the end; else the earliest start. Without any it returns
// len(turns).
func ReplayStart(turns []Turn, tailMs float64) int {
	if len(turns) == 0 {
		return 0
	}
	latestMs := turns[len(turns)-1].AtMs - tailMs
	start := len(turns)
	for i := range turns {
		if !isStart(turns, i) {
			continue
		}
		if start == len(turns) || turns[i].AtMs <= latestMs {
			start = i
		}
	}
	return start
}

// isStart returns whether a replay can begin at a turn. The first one at hand is taken for the life's first if it is
// earlier than any checkpoint can be.
func isStart(turns []Turn, i int) bool {
	isFirst := i == 0 && turns[i].AtMs < CheckpointIntervalMs
	return isFirst || turns[i].IsCheckpoint()
}

// ReadTail reads the turns from which a life can be gone on from. Torn tells that what follows them can't be read. No
// more than the tail and a chunk is held at a time: a life may be a week long.
func ReadTail(s *Store, life string, tailMs float64) (turns []Turn, damaged bool, err error) {
	err = s.Read(life, func(chunk []Turn, gap bool) error {
		if gap {
			turns = nil // what lies before a gap does not lead to what lies after it
		}
		turns = append(turns, chunk...)
		if start := ReplayStart(turns, tailMs); start > 0 && start < len(turns) {
			turns = slices.Clone(turns[start:]) // lets go of what lies before
		}
		return nil
	})
	if errors.Is(err, ErrCorrupt) {
		return turns, true, nil
	}
	return turns, false, err
}

// Restore feeds a tail to a new core whose transports are held back. Its first turn may be a checkpoint; later ones are
// left out. A planner that panics on what the record holds gives an error: it would panic again at each start.
func Restore(core *controller.Core, turns []Turn) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module panics on the record: %v", r)
		}
	}()
	replayer := newReplayer(core, nil)
	for i := range turns {
		if i > 0 && turns[i].IsCheckpoint() {
			continue
		}
		if err := replayer.replay(&turns[i]); err != nil {
			return err
		}
	}
	return nil
}
