// Package planner decides how plain proxies spread reqs over endpoints. This file is its interface: notes come
// in, orders go out, and neither knows any wire. Times are float milliseconds; endpoints, zones, machines, req
// kinds, proxies and tables are small indices.
package planner

// Note is something the pilot learned; one of the types below.
type Note any

// MostFigure bounds every weight, rate and figure of a load report that a note may carry. Beyond it sums of a few
// overflow, and one infinity makes not-a-number of all weights that it touches, for good.
const MostFigure = 1e9

// Sound returns whether a rate or a figure of a load report may stand in a note.
func Sound(v float64) bool { return v >= 0 && v <= MostFigure }

// SoundWeight returns whether a weight may: 0, which says nothing, or one that others can be held against.
func SoundWeight(v float64) bool { return v == 0 || v >= 1/MostFigure && v <= MostFigure }

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

// ListMode tells how a Listing applies to the list held so far.
type ListMode int

// The ways a listing arrives.
const (
	Changes ListMode = iota
	Whole
	Remembered
	ListFailed
)

// Listing carries endpoint entries from discovery.
type Listing struct {
	Mode    ListMode
	Version int
	Entries []Entry
}

// Alarm reports that a WakeAt has fallen due.
type Alarm struct{ Name string }

// Probed is the result of one Probe.
type Probed struct {
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

// Joined reports a proxy's stream; Fresh means that it holds only its standing table. Stood means that nobody saw
// whether it has left since it joined before: it may still be bound.
type Joined struct {
	Proxy, Zone  int
	Rate         float64
	Fresh, Stood bool
}

// Left reports that a proxy's stream broke.
type Left struct{ Proxy int }

// Met sums what the joined proxies of a zone met at an endpoint.
type Met struct {
	Endpoint, Zone, Tries, Failed int
	MeanMs, SpanMs                float64
	Load                          Load
}

// Demand sums the reqs of a kind that came to a proxy.
type Demand struct {
	Proxy, Kind, Reqs, Unanswered int
	SpanMs                        float64
}

// SliceDemand sums the reqs of a kind that came for a slice.
type SliceDemand struct {
	Slice, Kind, Reqs, Unanswered int
	SpanMs                        float64
}

// SliceCharge gives a slice into this pilot's charge or takes it away.
type SliceCharge struct {
	Slice int
	Given bool
}

// SliceLine is one stored line of a slice just given.
type SliceLine struct {
	Slice, Endpoint int
	Weight          float64
}

// Applied reports that a proxy has applied everything up to a Mark.
type Applied struct {
	Proxy, Number int
	TookMs        float64
}

// Stalled reports that the channel has taken no orders for so long, or, with 0, that it takes them again. Orders made
// meanwhile wait before it and may go out as one.
type Stalled struct {
	ForMs  float64
	Again  []int // marks of orders that were one call, which may have crossed and goes out again
	Joined []int // marks of orders that go out as one call, under the newest of them
}

// Order is something the pilot does; one of the types below.
type Order any

// SetLine sets an endpoint's weight in a table; 0 removes the line.
type SetLine struct {
	Table, Endpoint int
	Weight          float64
}

// ClearTable removes all lines and levels of a table.
type ClearTable struct{ Table int }

// Bind puts a proxy on a table for the req kinds of a bit mask (0: all).
type Bind struct{ Table, Proxy, Kinds int }

// Withdraw shuts an endpoint out of all tables of joined proxies, or lets it in again.
type Withdraw struct {
	Endpoint int
	Out      bool
}

// EveryTable is the table number of an Admit that counts for all joined proxies.
const EveryTable = 65535

// Admit sets the share or rate of req kinds let in, and the way of trying again.
type Admit struct {
	Table, Kinds, Again int
	Level               float64
}

// Mark asks the proxies reached (or all) to report with Applied.
type Mark struct {
	Number int
	All    bool
}

// Probe examines an endpoint.
type Probe struct{ Endpoint int }

// Tell sends a short text to a peer, or to all with Peer -1.
type Tell struct {
	Peer int
	Text string
}

// WakeAt asks for an Alarm.
type WakeAt struct {
	AtMs float64
	Name string
}

// Watch subscribes to list changes or ends the subscription.
type Watch struct{ On bool }

// FetchList asks for the whole list once.
type FetchList struct{}

// Log writes a line to the operators' log.
type Log struct{ Text string }
