package record

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Format is the version of the stored format; 2 brought slices with their ranges of keys.
const Format = 2

// Turn is one turn of the control loop.
type Turn struct {
	AtMs   float64 // on the controller's clock
	Inputs []Input
	Digest uint64 // of the commands that the planner gave, by Digest
}

// IsCheckpoint returns whether a turn happened in no life, but holds what another core needs to go on from here.
func (t *Turn) IsCheckpoint() bool {
	return len(t.Inputs) > 0 && t.Inputs[0].Kind == KindCheckpoint
}

// Input is one input of a turn. Which fields count depends on its kind.
type Input struct {
	Kind        Kind
	Stream      uint64                    // numbers the proxies' streams of a life from 1, in the order of their first inputs
	Message     wire.Message              // of Join, Applied, Listed and SliceGiven
	From        int                       // of Heard: the rank of the sender
	Text        string                    // of Heard; the endpoint of Probed; settings as JSON of Retermed
	HealthCheck planner.HealthCheckResult // of Probed
	Event       planner.Event             // of Met, Demand and SliceDemand: as telemetry passed them on
}
