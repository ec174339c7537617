package record

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Format is the version of the stored format; 2 brought slices with their ranges of keys.
const Format = 2

// Turn is one turn of the control loop.
type Turn struct {
	AtMs   float64 `json:"AtMs"` // on the controller's clock
	Inputs []Input `json:"Inputs"`
	Digest uint64  `json:"Digest"` // of the commands that the planner gave, by Digest
}

// IsCheckpoint returns whether a turn happened in no life, but holds what another core needs to go on from here.
func (t *Turn) IsCheckpoint() bool {
	return len(t.Inputs) > 0 && t.Inputs[0].Kind == KindCheckpoint
}

// Input is one input of a turn. Which fields count depends on its kind.
type Input struct {
	Kind Kind `json:"Kind"`
	// Stream numbers the proxies' streams of a life from 1, in the order of their first inputs.
	Stream uint64 `json:"Stream"`
	// Message is of KindProxyJoined, KindAcked, KindEndpointsListed and KindSliceAssigned.
	Message wire.Message `json:"Message"`
	// From is the rank of the controller that sent a KindGossip.
	From int `json:"From"`
	// Text is of KindGossip, the endpoint of KindHealthChecked, or the settings of KindSettingsChanged as JSON.
	Text string `json:"Text"`
	// HealthCheck is of KindHealthChecked.
	HealthCheck planner.HealthCheckResult `json:"Probe"`
	// Event is of KindEndpointStats, KindRequestStats and KindSliceStats, as telemetry passed them on.
	Event planner.Event `json:"Note"`
}
