package record

// Kind tells what an input was. Kinds are stored by number: a new one goes before Checkpoint with a new Format.
type Kind byte

// The kinds of input.
const (
	Join        Kind = iota + 1 // a proxy opened a stream
	Leave                       // a proxy's stream ended
	Applied                     // a proxy acknowledged commands
	Listed                      // endpoints came from the endpoint list
	ListLost                    // a call to the endpoint list failed
	Heard                       // another controller's gossip
	Probed                      // the result of a health check
	Retermed                    // changed settings
	Met                         // what proxies met at an endpoint, as telemetry summed it
	Demand                      // the requests that came to a proxy, as telemetry summed them
	SliceGiven                  // a slice was assigned or taken away
	SliceDemand                 // the requests that came for a slice, as telemetry summed them
	Checkpoint                  // begins a turn that holds what another core needs to go on from here
)

// kindNames are shown to people and written by exports.
var kindNames = [...]string{
	Join:        "join",
	Leave:       "leave",
	Applied:     "applied",
	Listed:      "listed",
	ListLost:    "list lost",
	Heard:       "heard",
	Probed:      "probed",
	Retermed:    "retermed",
	Met:         "met",
	Demand:      "demand",
	SliceGiven:  "slice given",
	SliceDemand: "slice demand",
	Checkpoint:  "checkpoint",
}

// String names a kind.
func (k Kind) String() string {
	if int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}
