package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Input is what a transport reports to the core: one of the types of this file. Inputs are values; whoever posts one
// does not change what it points to afterwards.
type Input interface{ isInput() }

// Inputs of proxies whose streams this pilot holds.
type (
	// ProxyJoined reports a proxy's new stream.
	ProxyJoined struct {
		Stream Stream
		Hello  wire.Hello
	}

	// ProxyLeft reports that a stream has ended.
	ProxyLeft struct{ Stream Stream }

	// LoadReported brings a proxy's report: what it counted since its last one.
	LoadReported struct {
		Stream Stream
		Sums   *wire.LoadReport
	}

	// Acked answers an ack request: the proxy has applied everything sent before it.
	Acked struct {
		Stream Stream
		Done   wire.Done
	}
)

// Inputs of the endpoint list and its store.
type (
	// EndpointsListed brings entries of the endpoint list.
	EndpointsListed struct {
		List   *wire.List
		Cached bool // as it was before this start; it may be old
	}

	// EndpointListLost reports that a call to the list failed or that its changes stopped.
	EndpointListLost struct{}

	// SliceAssigned reports that the store has assigned a slice to this pilot or taken it away.
	SliceAssigned struct{ Slices *wire.Slices }
)

// Inputs of health checks, peers, operators and records.
type (
	// HealthChecked is the result of a health check. Outcome is a short word: ok, error, denied, timeout, unreachable or
	// reset.
	HealthChecked struct {
		Endpoint string
		Outcome  string
		TookMs   float64
		Load     []wire.LoadMetric
	}

	// GossipReceived brings a peer's text.
	GossipReceived struct {
		From int
		Text string
	}

	// SettingsChanged brings changed settings of the decider; only values that it reads anew each time may be among
	// them.
	SettingsChanged struct{ Settings map[string]any }

	// TelemetryBatch brings recorded telemetry, as the aggregator passed it on, in a replay.
	TelemetryBatch struct{ Events []planner.Event }
)

// Inputs of proxies whose streams a relay holds. They are known by number, not by stream, and their reports come
// summed up.
type (
	// RelayProxyJoined reports that a proxy has joined the relay and is assigned to this pilot. Resumed means that it
	// is there after a time in which nobody saw whether it left and came back.
	RelayProxyJoined struct {
		Proxy          int
		Zone           string
		Rate           float64 // usual requests a second
		Fresh, Resumed bool    // Fresh: it holds only the table that it started with
	}

	// RelayProxyLeft reports that a proxy has left the relay.
	RelayProxyLeft struct{ Proxy int }

	// RelayAck answers an ack request, whose number is Mark: the proxy has applied everything sent before it.
	RelayAck struct {
		Proxy, Mark int
		TookMs      float64
	}

	// RelayStalled reports that the relay has taken no commands for so long, or, with 0, that it takes them again.
	RelayStalled struct {
		ForMs    float64
		Repeated []int // ack requests of a call that may have been carried out and is retried
		Merged   []int // ack requests of commands that go out as one call now
	}

	// ZoneStats sums the attempts of a zone's proxies at an endpoint.
	ZoneStats struct {
		Zone, Endpoint   string
		Attempts, Failed int
		MeanMs, SpanMs   float64
		Load             map[string]float64
	}

	// ProxyStats sums the requests of a class that came to a proxy.
	ProxyStats struct {
		Proxy                int
		Class                string
		Requests, Unanswered int
		SpanMs               float64
	}
)

func (ProxyJoined) isInput()      {}
func (ProxyLeft) isInput()        {}
func (LoadReported) isInput()     {}
func (Acked) isInput()            {}
func (EndpointsListed) isInput()  {}
func (EndpointListLost) isInput() {}
func (SliceAssigned) isInput()    {}
func (HealthChecked) isInput()    {}
func (GossipReceived) isInput()   {}
func (SettingsChanged) isInput()  {}
func (TelemetryBatch) isInput()   {}
func (RelayProxyJoined) isInput() {}
func (RelayProxyLeft) isInput()   {}
func (RelayAck) isInput()         {}
func (RelayStalled) isInput()     {}
func (ZoneStats) isInput()        {}
func (ProxyStats) isInput()       {}
