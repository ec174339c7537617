package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Input is an input of the core: one of the types in this file. Inputs must not be modified after they have been
// posted, nor may the data that they point to.
type Input interface{ isInput() }

// Inputs from proxies that are connected directly to this pilot.
type (
	// ProxyJoined reports a new stream and the hello message of its proxy.
	ProxyJoined struct {
		Stream Stream
		Hello  wire.Hello
	}

	// ProxyLeft reports that a stream has ended.
	ProxyLeft struct{ Stream Stream }

	// LoadReported is a load report of a proxy. It covers the time since the proxy's previous report.
	LoadReported struct {
		Stream Stream
		Sums   *wire.LoadReport
	}

	// Acked is a proxy's answer to an ack request: it has applied everything sent before the request.
	Acked struct {
		Stream Stream
		Done   wire.Done
	}
)

// Inputs from the endpoint list and from the store that assigns slices.
type (
	// EndpointsListed is a snapshot or delta of the endpoint list.
	EndpointsListed struct {
		List   *wire.List
		Cached bool // the list was saved before this process started and may be outdated
	}

	// EndpointListLost reports that a request for the endpoint list failed or that its watch ended.
	EndpointListLost struct{}

	// SliceAssigned reports that the store has assigned a slice to this pilot or has revoked it.
	SliceAssigned struct{ Slices *wire.Slices }
)

// Inputs from health checks, other pilots, operators and recorded telemetry.
type (
	// HealthChecked is the result of a health check. Outcome is one of ok, error, denied, timeout, unreachable and
	// reset. TookMs is its duration in ms; Load is the load that the endpoint reported.
	HealthChecked struct {
		Endpoint string
		Outcome  string
		TookMs   float64
		Load     []wire.LoadMetric
	}

	// GossipReceived is a text sent by another pilot; From is the index of that pilot.
	GossipReceived struct {
		From int
		Text string
	}

	// SettingsChanged holds the decider settings that have changed, by name. Only settings that can change while the
	// pilot runs may be among them; see Decider.Reconfigure.
	SettingsChanged struct{ Settings map[string]any }

	// TelemetryBatch holds the recorded output of the report aggregator for one turn of a replay.
	TelemetryBatch struct{ Events []planner.Event }
)

// Inputs from proxies that are connected through a relay. Proxies are identified by number instead of by stream, and
// the relay aggregates their reports.
type (
	// RelayProxyJoined reports that a proxy has joined the relay and is assigned to this pilot. Resumed means that the
	// proxy is joined after a gap in the relay's events; it may have left and joined again during the gap.
	RelayProxyJoined struct {
		Proxy          int
		Zone           string
		Rate           float64 // usual request rate, in requests per second
		Fresh, Resumed bool    // Fresh: the proxy has only its static table, none from a pilot
	}

	// RelayProxyLeft reports that a proxy has left the relay.
	RelayProxyLeft struct{ Proxy int }

	// RelayAck is a proxy's answer to the ack request with the number Mark: it has applied everything sent before the
	// request. TookMs is the time that this took, in ms.
	RelayAck struct {
		Proxy, Mark int
		TookMs      float64
	}

	// RelayStalled reports that the relay has accepted no commands for ForMs milliseconds. A ForMs of 0 means that it
	// accepts commands again.
	RelayStalled struct {
		ForMs    float64
		Repeated []int // ack requests in a call that is retried although the relay may have executed it
		Merged   []int // ack requests in commands that were merged into one call
	}

	// ZoneStats holds the attempts of one zone's proxies at one endpoint during SpanMs: their number, how many failed,
	// their mean duration in ms, and the load that the endpoint reported.
	ZoneStats struct {
		Zone, Endpoint   string
		Attempts, Failed int
		MeanMs, SpanMs   float64
		Load             map[string]float64
	}

	// ProxyStats holds the number of requests of one class that a proxy received during SpanMs, and how many of them
	// got no answer.
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
