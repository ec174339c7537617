package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Input is what a transport reports to the core: one of the types of this file. Inputs are values; whoever posts one
// does not change what it points to afterwards.
type Input interface{ isInput() }

// Inputs of proxies whose streams this controller holds.
type (
	// Join reports a proxy's new stream.
	Join struct {
		Stream Stream
		Hello  wire.Hello
	}

	// Leave reports that a stream has ended.
	Leave struct{ Stream Stream }

	// Reported brings a proxy's report: sums since its last one.
	Reported struct {
		Stream Stream
		Sums   *wire.Sums
	}

	// Applied acknowledges a mark: the proxy has applied everything up to it.
	Applied struct {
		Stream Stream
		Done   wire.Done
	}
)

// Inputs of the endpoint list and its store.
type (
	// Listed brings entries of the endpoint list.
	Listed struct {
		List       *wire.List
		Remembered bool // as it was before this start; it may be old
	}

	// ListLost reports that a call to the list failed or that its changes stopped.
	ListLost struct{}

	// SliceGiven reports that the store has assigned a slice to this controller or taken it away.
	SliceGiven struct{ Slices *wire.Slices }
)

// Inputs of health checks, peers, operators and records.
type (
	// Probed is the result of a health check. Outcome is a short word: ok, error, denied, timeout, unreachable or reset.
	Probed struct {
		Endpoint string
		Outcome  string
		TookMs   float64
		Load     []wire.Figure
	}

	// Heard brings a peer's text.
	Heard struct {
		From int
		Text string
	}

	// Retermed brings changed settings of the decider; only values that it reads anew each time may be among them.
	Retermed struct{ Terms map[string]any }

	// Told brings recorded telemetry, what the intake passed on, in a replay.
	Told struct{ Notes []planner.Note }
)

// Inputs of proxies whose streams a relay holds. They are known by number, not by stream, and their reports come
// summed up.
type (
	// Relayed reports that a proxy has joined the relay and is assigned to this controller. Stood means that it stands
	// there after a time in which nobody saw whether it left and came back.
	Relayed struct {
		Proxy        int
		Zone         string
		Rate         float64 // usual requests a second
		Fresh, Stood bool
	}

	// Unrelayed reports that a proxy has left the relay.
	Unrelayed struct{ Proxy int }

	// RelayApplied acknowledges a mark: the proxy has applied everything up to it.
	RelayApplied struct {
		Proxy, Mark int
		TookMs      float64
	}

	// RelayStalled reports that the relay has taken no commands for so long, or, with 0, that it takes them again.
	RelayStalled struct {
		ForMs  float64
		Again  []int // marks of a call that may have been carried out and is retried
		Joined []int // marks of commands that go out as one call now
	}

	// ZoneMet sums what the proxies of a zone met at an endpoint.
	ZoneMet struct {
		Zone, Endpoint string
		Tries, Failed  int
		MeanMs, SpanMs float64
		Load           map[string]float64
	}

	// ProxyDemand sums the requests of a kind that came to a proxy.
	ProxyDemand struct {
		Proxy            int
		Kind             string
		Reqs, Unanswered int
		SpanMs           float64
	}
)

func (Join) isInput()         {}
func (Leave) isInput()        {}
func (Reported) isInput()     {}
func (Applied) isInput()      {}
func (Listed) isInput()       {}
func (ListLost) isInput()     {}
func (SliceGiven) isInput()   {}
func (Probed) isInput()       {}
func (Heard) isInput()        {}
func (Retermed) isInput()     {}
func (Told) isInput()         {}
func (Relayed) isInput()      {}
func (Unrelayed) isInput()    {}
func (RelayApplied) isInput() {}
func (RelayStalled) isInput() {}
func (ZoneMet) isInput()      {}
func (ProxyDemand) isInput()  {}
