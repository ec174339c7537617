package record

import (
	"errors"
	"fmt"
	"slices"

	"indigousher/internal/controller"
)

// ReplayStart returns the index of the turn at which to start replaying the last tailMs of turns. A replay can start at
// a checkpoint or at the life's first turn. ReplayStart returns the last of these that lies at least tailMs before the
// last turn, or the first of them if none does, or len(turns) if there are none.
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

// isStart reports whether a replay can start at a turn: at a checkpoint or at the life's first turn. turns[0] is taken
// for the life's first turn if it is earlier than the first checkpoint can be.
func isStart(turns []Turn, i int) bool {
	isFirst := i == 0 && turns[i].AtMs < CheckpointIntervalMs
	return isFirst || turns[i].IsCheckpoint()
}

// ReadTail reads the turns that are needed to replay the last tailMs of a life. damaged means that later turns of the
// life can't be read. It keeps no more than these turns and one chunk in memory, because a life may span a week.
func ReadTail(s *Store, life string, tailMs float64) (turns []Turn, damaged bool, err error) {
	err = s.Read(life, func(chunk []Turn, gap bool) error {
		if gap {
			turns = nil // the state after a gap does not follow from the turns before it
		}
		turns = append(turns, chunk...)
		if start := ReplayStart(turns, tailMs); start > 0 && start < len(turns) {
			turns = slices.Clone(turns[start:]) // releases the memory of the earlier turns
		}
		return nil
	})
	if errors.Is(err, ErrCorrupt) {
		return turns, true, nil
	}
	return turns, false, err
}

// Restore replays turns in a new core whose transports are disabled. The first turn may be a checkpoint; later
// checkpoints are skipped. If the planner panics, Restore returns an error, because the same record would make the
// planner panic again at each start.
func Restore(core *controller.Core, turns []Turn) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("planner panicked on the record: %v", r)
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
