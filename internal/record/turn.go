package record

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Format is the current version of the stored format. Version 2 added slices with their key ranges.
const Format = 2

// Turn is the record of one turn of the control loop, or a checkpoint.
type Turn struct {
	AtMs   float64 `json:"AtMs"` // time in ms on the controller's clock
	Inputs []Input `json:"Inputs"`
	Digest uint64  `json:"Digest"` // digest of the planner's commands, see the function Digest
}

// IsCheckpoint reports whether a turn is a checkpoint. A checkpoint is not a turn of the control loop; its inputs
// rebuild the state of the core at its time in another core.
func (t *Turn) IsCheckpoint() bool {
	return len(t.Inputs) > 0 && t.Inputs[0].Kind == KindCheckpoint
}

// Input is one input of a turn. Its kind determines which of the other fields are used.
type Input struct {
	Kind Kind `json:"Kind"`
	// Stream is the number of a proxy's stream. The streams of a life are numbered from 1 in the order of their first
	// inputs.
	Stream uint64 `json:"Stream"`
	// Message is used by KindProxyJoined, KindAcked, KindEndpointsListed and KindSliceAssigned.
	Message wire.Message `json:"Message"`
	// From is the rank of the controller that sent the gossip of a KindGossip input.
	From int `json:"From"`
	// Text is the gossip of KindGossip, the endpoint of KindHealthChecked or the settings, as JSON, of
	// KindSettingsChanged.
	Text string `json:"Text"`
	// HealthCheck is the result of a KindHealthChecked input.
	HealthCheck planner.HealthCheckResult `json:"Probe"`
	// Event is an event from telemetry, used by KindEndpointStats, KindRequestStats and KindSliceStats.
	Event planner.Event `json:"Note"`
}
