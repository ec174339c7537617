package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// Input is what an edge reports; one of the types below.
type Input any

// Join reports a proxy's new stream.
type Join struct {
	Stream Stream
	Hello  wire.Hello
}

// Leave reports that a stream has ended.
type Leave struct{ Stream Stream }

// Reported brings a proxy's sums.
type Reported struct {
	Stream Stream
	Sums   *wire.Sums
}

// Applied reports that a proxy has applied everything up to a mark.
type Applied struct {
	Stream Stream
	Done   wire.Done
}

// Listed brings entries of the list.
type Listed struct {
	List       *wire.List
	Remembered bool // as it was before this start; it may be old
}

// SliceGiven reports that the store has given a slice into this pilot's charge or taken it away.
type SliceGiven struct{ Slices *wire.Slices }

// ListLost reports that a call to the list failed or that its changes stopped.
type ListLost struct{}

// Probed answers a probe. Outcome is a short word: ok, error, denied, timeout, unreachable or reset.
type Probed struct {
	Endpoint string
	Outcome  string
	TookMs   float64
	Load     []wire.Figure
}

// Heard brings a peer's text.
type Heard struct {
	From int
	Text string
}

// Retermed brings changed terms for the module; only values that it reads anew each time may be among them.
type Retermed struct{ Terms map[string]any }

// Told brings what an intake passed on, in a replay.
type Told struct{ Notes []brain.Note }

// Relayed says that a proxy, known by its number, has joined the relay in this pilot's charge; Stood, that it stands
// there after a time in which nobody saw whether it left and came back.
type Relayed struct {
	Proxy        int
	Zone         string
	Rate         float64
	Fresh, Stood bool
}

// Unrelayed says that it has left.
type Unrelayed struct{ Proxy int }

// RelayApplied says that it has applied everything up to a mark.
type RelayApplied struct {
	Proxy, Mark int
	TookMs      float64
}

// RelayStalled says that the relay has taken no orders for so long, or, with 0, that it takes them again. Again names the
// marks of a call that may have been carried out and is said again, Joined those of orders that go out as one call now.
type RelayStalled struct {
	ForMs         float64
	Again, Joined []int
}

// ZoneMet is a line of what the proxies of a zone met, summed up elsewhere.
type ZoneMet struct {
	Zone, Endpoint string
	Tries, Failed  int
	MeanMs, SpanMs float64
	Load           map[string]float64
}

// ProxyDemand is a line of what came to a proxy, summed up elsewhere.
type ProxyDemand struct {
	Proxy            int
	Kind             string
	Reqs, Unanswered int
	SpanMs           float64
}
