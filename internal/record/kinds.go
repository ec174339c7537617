package record

// Kind tells what an input was. Kinds are stored by number: a new one goes before Checkpoint with a new Format.
type Kind byte

// The kinds of input.
const (
	KindProxyJoined      Kind = iota + 1 // a proxy opened a stream
	KindProxyLeft                        // a proxy's stream ended
	KindAcked                            // a proxy acknowledged commands
	KindEndpointsListed                  // endpoints came from the endpoint list
	KindEndpointListLost                 // a call to the endpoint list failed
	KindGossip                           // another controller's gossip
	KindHealthChecked                    // the result of a health check
	KindSettingsChanged                  // changed settings
	KindEndpointStats                    // what proxies met at an endpoint, as telemetry summed it
	KindRequestStats                     // the requests that came to a proxy, as telemetry summed them
	KindSliceAssigned                    // a slice was assigned or taken away
	KindSliceStats                       // the requests that came for a slice, as telemetry summed them
	KindCheckpoint                       // begins a turn that holds what another core needs to go on from here
)

// kindNames are shown to people and written by exports.
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

// String names a kind.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}
