package record

import (
	"errors"
	"fmt"
	"slices"

	"indigousher/internal/pilot"
)

// From returns the turn from which a tail is to be replayed: the last checkpoint, or the life's first turn, that lies at
// least so far before the end; else the earliest of them.
func From(turns []Turn, tailMs float64) int {
	if len(turns) == 0 {
		return 0
	}
	end, from := turns[len(turns)-1].AtMs, -1
	for i := range turns {
		start := i == 0 && turns[i].AtMs < CheckpointEvery || turns[i].IsCheckpoint()
		if start && (from < 0 || turns[i].AtMs <= end-tailMs) {
			from = i
		}
	}
	if from < 0 {
		return len(turns) // nothing to stand on
	}
	return from
}

// Tail reads the turns of a life from which it can be gone on from. Torn tells that something after them can't be read.
// No more is held at a time than the tail and a chunk: a life may be a week long.
func Tail(s *Store, life string, tailMs float64) (turns []Turn, torn bool, err error) {
	err = s.Read(life, func(ts []Turn, gap bool) error {
		if gap {
			turns = nil // what lies before a gap does not lead to what lies after it
		}
		turns = append(turns, ts...)
		if from := From(turns, tailMs); from > 0 && from < len(turns) {
			turns = slices.Clone(turns[from:])
		}
		return nil
	})
	if errors.Is(err, ErrTorn) {
		return turns, true, nil
	}
	return turns, false, err
}

// Restore feeds a tail to a new core whose edges are held back. Its first turn may be a checkpoint; later ones are not
// fed. A module that panics on what the record holds gives an error: it would do so again at each start.
func Restore(core *pilot.Core, turns []Turn) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module panics on the record: %v", r)
		}
	}()
	p := replayer{core: core}
	for i := range turns {
		if i > 0 && turns[i].IsCheckpoint() {
			continue
		}
		if err := p.replay(&turns[i], 0); err != nil {
			return err
		}
	}
	return nil
}
