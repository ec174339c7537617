// Package planner decides how plain proxies spread reqs over endpoints. This file is its interface: notes come
// in, orders go out, and neither knows any wire. Times are float milliseconds; endpoints, zones, machines, req
// kinds, proxies and tables are small indices.
package planner

// Event is something the pilot learned; one of the types below.
type Event any

// MaxFigure bounds every weight, rate and figure of a load report that a note may carry. Beyond it sums of a few
// overflow, and one infinity makes not-a-number of all weights that it touches, for good.
const MaxFigure = 1e9

// ValidRate returns whether a rate or a figure of a load report may stand in a note.
func ValidRate(v float64) bool { return v >= 0 && v <= MaxFigure }

// ValidWeight returns whether a weight may: 0, which says nothing, or one that others can be held against.
func ValidWeight(v float64) bool { return v == 0 || v >= 1/MaxFigure && v <= MaxFigure }

// Phase is what the list says of an endpoint's process.
type Phase int

// The phases an endpoint can be listed in.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Entry is one line of the endpoint list. Started is 0 for the distant past.
type Entry struct {
	Endpoint, Zone, Machine, Cell int
	Phase                         Phase
	Weight, Started               float64
}

// UpdateMode tells how a Listing applies to the list held so far.
type UpdateMode int

// The ways a listing arrives.
const (
	Delta UpdateMode = iota
	Snapshot
	Cached
	UpdateFailed
)

// EndpointUpdate carries endpoint entries from discovery.
type EndpointUpdate struct {
	Mode    UpdateMode
	Version int
	Entries []Entry
}

// TimerFired reports that a WakeAt has fallen due.
type TimerFired struct{ Name string }

// HealthCheckResult is the result of one Probe.
type HealthCheckResult struct {
	Endpoint int
	OK       bool
	Outcome  string
	TookMs   float64
	Load     Load
}

// Load holds the values of a load report by name: in_hand, waiting, util, service_ms, rate, errored_rate.
type Load map[string]float64

// Gossip is a short message from another pilot.
type Gossip struct {
	From int
	Text string
}

// ProxyJoined reports a proxy's stream; Fresh means that it holds only its standing table. Stood means that nobody saw
// whether it has left since it joined before: it may still be bound.
type ProxyJoined struct {
	Proxy, Zone    int
	Rate           float64
	Fresh, Resumed bool
}

// ProxyLeft reports that a proxy's stream broke.
type ProxyLeft struct{ Proxy int }

// EndpointStats sums what the joined proxies of a zone met at an endpoint.
type EndpointStats struct {
	Endpoint, Zone, Attempts, Failed int
	MeanMs, SpanMs                   float64
	Load                             Load
}

// RequestStats sums the reqs of a kind that came to a proxy.
type RequestStats struct {
	Proxy, Class, Requests, Unanswered int
	SpanMs                             float64
}

// SliceStats sums the reqs of a kind that came for a slice.
type SliceStats struct {
	Slice, Class, Requests, Unanswered int
	SpanMs                             float64
}

// SliceAssignment gives a slice into this pilot's charge or takes it away.
type SliceAssignment struct {
	Slice    int
	Assigned bool
}

// SliceWeight is one stored line of a slice just given.
type SliceWeight struct {
	Slice, Endpoint int
	Weight          float64
}

// Ack reports that a proxy has applied everything up to a Mark.
type Ack struct {
	Proxy, Number int
	TookMs        float64
}

// ChannelStalled reports that the channel has taken no orders for so long, or, with 0, that it takes them again. Orders made
// meanwhile wait before it and may go out as one.
type ChannelStalled struct {
	ForMs    float64
	Repeated []int // marks of orders that were one call, which may have crossed and goes out again
	Merged   []int // marks of orders that go out as one call, under the newest of them
}

// Command is something the pilot does; one of the types below.
type Command any

// SetWeight sets an endpoint's weight in a table; 0 removes the line.
type SetWeight struct {
	Table, Endpoint int
	Weight          float64
}

// ClearTable removes all lines and levels of a table.
type ClearTable struct{ Table int }

// AssignTable puts a proxy on a table for the req kinds of a bit mask (0: all).
type AssignTable struct{ Table, Proxy, Classes int }

// SetExcluded shuts an endpoint out of all tables of joined proxies, or lets it in again.
type SetExcluded struct {
	Endpoint int
	Excluded bool
}

// EveryTable is the table number of an Admit that counts for all joined proxies.
const EveryTable = 65535

// SetAdmission sets the share or rate of req kinds let in, and the way of trying again.
type SetAdmission struct {
	Table, Classes, RetryMode int
	Level                     float64
}

// AckRequest asks the proxies reached (or all) to report with Applied.
type AckRequest struct {
	Number int
	All    bool
}

// HealthCheck examines an endpoint.
type HealthCheck struct{ Endpoint int }

// SendGossip sends a short text to a peer, or to all with Peer -1.
type SendGossip struct {
	Peer int
	Text string
}

// SetTimer asks for an Alarm.
type SetTimer struct {
	AtMs float64
	Name string
}

// WatchEndpoints subscribes to list changes or ends the subscription.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks for the whole list once.
type FetchEndpoints struct{}

// Log writes a line to the operators' log.
type Log struct{ Text string }
