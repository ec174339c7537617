package record

// Kind is the kind of an input. It is stored as a number: a new kind is inserted before KindCheckpoint, which changes
// the number of KindCheckpoint and so needs a new Format.
type Kind byte

// The kinds of input.
const (
	KindProxyJoined      Kind = iota + 1 // a proxy opened a stream
	KindProxyLeft                        // a proxy's stream ended
	KindAcked                            // a proxy acknowledged commands
	KindEndpointsListed                  // the endpoint list delivered endpoints
	KindEndpointListLost                 // a call to the endpoint list failed
	KindGossip                           // gossip of another controller arrived
	KindHealthChecked                    // a health check returned a result
	KindSettingsChanged                  // the planner's settings changed
	KindEndpointStats                    // attempts at an endpoint, aggregated by telemetry
	KindRequestStats                     // requests that a proxy received, aggregated by telemetry
	KindSliceAssigned                    // a slice was assigned to the controller or taken away
	KindSliceStats                       // requests for a slice, aggregated by telemetry
	KindCheckpoint                       // first input of a checkpoint, see Turn.IsCheckpoint
)

// kindNames holds the names of the kinds in the output of commands and in exports.
var kindNames = [...]string{
	KindProxyJoined:      "join",
	KindProxyLeft:        "leave",
	KindAcked:            "applied",
	KindEndpointsListed:  "listed",
	KindEndpointListLost: "list lost",
	KindGossip:           "heard",
	KindHealthChecked:    "probed",
	KindSettingsChanged:  "retermed",
	KindEndpointStats:    "met",
	KindRequestStats:     "demand",
	KindSliceAssigned:    "slice given",
	KindSliceStats:       "slice demand",
	KindCheckpoint:       "checkpoint",
}

// String returns the name of a kind, or "unknown".
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}
