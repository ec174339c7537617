package record

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// Format is the version of the layout.
const Format = 2 // 2: slices with their ranges of keys

// Turn is one turn of the loop.
type Turn struct {
	AtMs   float64
	Inputs []Input
	Digest uint64 // of the orders
}

// IsCheckpoint returns whether a turn is no part of the life but what another core needs to go on from here.
func (t *Turn) IsCheckpoint() bool { return len(t.Inputs) > 0 && t.Inputs[0].Kind == Checkpoint }

// Input is one input of a turn. Stream numbers the proxies' streams of a life.
type Input struct {
	Kind    Kind
	Stream  uint64
	Message wire.Message // of Join, Applied, Listed and SliceGiven
	From    int          // of Heard
	Text    string       // of Heard; the endpoint of Probed; terms as JSON of Retermed
	Probe   brain.Probed // of Probed
	Note    brain.Note   // of Met, Demand and SliceDemand: as the intake passed them on
}
