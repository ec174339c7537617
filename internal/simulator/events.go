package simulator

import (
	"encoding/json"
	"fmt"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// batch is one line of input from the simulator. It contains the events up to ClockNs.
type batch struct {
	ClockNs int64             `json:"sim_time"`
	Number  int64             `json:"batch"`
	Events  []json.RawMessage `json:"happened"`
}

// The types of events, as the simulator names them. The host handles eventStart and eventEnd, the planner the others.
const (
	eventStart           = "spawn"
	eventEnd             = "teardown"
	eventEndpoints       = "discovery"
	eventTimer           = "bell"
	eventHealthCheck     = "ping_result"
	eventGossip          = "peer"
	eventProxyJoined     = "stream_up"
	eventProxyLeft       = "stream_down"
	eventEndpointStats   = "tally"
	eventRequestStats    = "proxy_stats"
	eventSliceStats      = "weight_seen"
	eventSliceAssignment = "handed"
	eventSliceWeight     = "stored_line"
	eventAcknowledgement = "confirmed"
)

// healthCheckPassed is the value of event.Result for a successful health check.
const healthCheckPassed = "S"

// event is an event of any type. Each type of event uses some of the fields, but a field with a value of the wrong type
// is always an error. The error text of encoding/json contains the Go names of this type and of the types of its
// fields.
type event struct {
	Kind     string `json:"kind"`
	Instance string `json:"i"`

	// Start of an instance: the seed and the settings of its planner.
	Seed  int64          `json:"rng_seed"`
	Setup map[string]any `json:"setup"`

	// Endpoint list. Number is the version of the list, or in an acknowledgement the number of the request.
	Mode    string     `json:"mode"`
	Number  int        `json:"epoch"`
	Entries []listLine `json:"hosts"`

	// Name of a timer.
	Timer string `json:"ref"`

	// Name of the endpoint, number of the proxy, and name of the zone.
	Endpoint string `json:"endpoint"`
	Proxy    int    `json:"edge"`
	Zone     string `json:"zone"`

	// Statistics and results. WaitNs is a duration or a mean duration, and SpanNs is the length of the counted period.
	Result string             `json:"result"`
	WaitNs float64            `json:"wait_time"`
	Load   map[string]float64 `json:"feedback"`
	Errors int                `json:"errors"`
	SpanNs float64            `json:"covers"`
	Count  int                `json:"count"`
	Class  string             `json:"qos"`

	// Gossip. From is the rank of the sending instance, and Text is the message.
	From int    `json:"by"`
	Text string `json:"contents"`

	// Weight is the usual request rate of a proxy, per second, or the weight of an endpoint. Active means that a proxy
	// has only its bootstrap table, or that a slice is assigned to this instance. Slice is the index of a slice.
	Weight float64 `json:"heft"`
	Active bool    `json:"active"`
	Slice  int     `json:"tbl"`
}

// listLine is one endpoint in an endpoint list of the simulator.
type listLine struct {
	Endpoint   string  `json:"endpoint"`
	Zone       string  `json:"zone"`
	Model      string  `json:"generation_hw"`
	Cell       int     `json:"group"`
	Mode       string  `json:"mode"`
	Weight     float64 `json:"heft"`
	LaunchedNs int64   `json:"launched"` // start of the process in simulator time; 0: unknown, long ago
}

// listModes maps the simulator's names for the modes of an endpoint list to the planner's modes.
var listModes = map[string]planner.UpdateMode{
	"incr":      planner.Delta,
	"total":     planner.Snapshot,
	"warm_copy": planner.Cached,
	"lost":      planner.UpdateFailed,
}

// phases maps the simulator's names for the phases of an endpoint to the planner's phases.
var phases = map[string]planner.Phase{
	"live":      planner.Ready,
	"quiescing": planner.Draining,
	"dead":      planner.Gone,
}

// decode converts an event of the simulator to an event of the planner. It assigns indices to new names. It returns an
// error if the type of the event is unknown or a value is out of range.
func (in *instance) decode(e *event) (planner.Event, error) {
	switch e.Kind {
	case eventEndpoints:
		return in.decodeEndpoints(e)
	case eventProxyJoined:
		return in.decodeProxyJoined(e)
	case eventProxyLeft:
		return planner.ProxyLeft{Proxy: e.Proxy}, nil
	case eventTimer:
		return planner.TimerFired{Name: e.Timer}, nil
	case eventHealthCheck:
		return in.decodeHealthCheck(e), nil
	case eventGossip:
		return planner.Gossip{From: e.From, Text: e.Text}, nil
	case eventEndpointStats:
		return in.decodeEndpointStats(e), nil
	case eventRequestStats:
		return in.decodeRequestStats(e), nil
	case eventSliceStats:
		return in.decodeSliceStats(e), nil
	case eventSliceAssignment:
		return planner.SliceAssignment{Slice: e.Slice, Assigned: e.Active}, nil
	case eventSliceWeight:
		return planner.SliceWeight{Slice: e.Slice, Endpoint: in.endpoints.Intern(e.Endpoint), Weight: e.Weight}, nil
	case eventAcknowledgement:
		return planner.Ack{Proxy: e.Proxy, Number: e.Number, TookMs: e.WaitNs / settings.NsPerMs}, nil
	}
	return nil, fmt.Errorf("unknown event type %q", e.Kind)
}

// decodeEndpoints converts an endpoint list or a change to it.
func (in *instance) decodeEndpoints(e *event) (planner.Event, error) {
	mode, ok := listModes[e.Mode]
	if !ok {
		return nil, fmt.Errorf("unknown endpoint list mode %q", e.Mode)
	}
	listing := planner.EndpointUpdate{Mode: mode, Version: e.Number}
	for i := range e.Entries {
		entry, err := in.decodeListLine(&e.Entries[i])
		if err != nil {
			return nil, err
		}
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, nil
}

// decodeListLine converts one endpoint of a list.
func (in *instance) decodeListLine(line *listLine) (planner.Entry, error) {
	phase, ok := phases[line.Mode]
	if !ok {
		return planner.Entry{}, fmt.Errorf("unknown phase %q of endpoint %q", line.Mode, line.Endpoint)
	}
	if !planner.ValidWeight(line.Weight) {
		return planner.Entry{}, fmt.Errorf("weight %g of endpoint %q is out of range", line.Weight, line.Endpoint)
	}
	entry := planner.Entry{
		Endpoint: in.endpoints.Intern(line.Endpoint),
		Zone:     in.zones.Intern(line.Zone),
		Machine:  in.models.Intern(line.Model),
		Cell:     line.Cell,
		Phase:    phase,
		Weight:   line.Weight,
	}
	if line.LaunchedNs != 0 {
		entry.Started = in.plannerTime(line.LaunchedNs)
	}
	return entry, nil
}

// decodeProxyJoined converts the start of a stream from a proxy.
func (in *instance) decodeProxyJoined(e *event) (planner.Event, error) {
	if !planner.ValidRate(e.Weight) {
		return nil, fmt.Errorf("rate %g of proxy %d is out of range", e.Weight, e.Proxy)
	}
	return planner.ProxyJoined{Proxy: e.Proxy, Zone: in.zones.Intern(e.Zone), Rate: e.Weight, Fresh: e.Active}, nil
}

// decodeHealthCheck converts the result of a health check.
func (in *instance) decodeHealthCheck(e *event) planner.Event {
	return planner.HealthCheckResult{
		Endpoint: in.endpoints.Intern(e.Endpoint),
		OK:       e.Result == healthCheckPassed,
		Outcome:  e.Result,
		TookMs:   e.WaitNs / settings.NsPerMs,
		Load:     settings.ParseLoad(e.Load),
	}
}

// decodeEndpointStats converts the statistics of attempts at an endpoint.
func (in *instance) decodeEndpointStats(e *event) planner.Event {
	return planner.EndpointStats{
		Endpoint: in.endpoints.Intern(e.Endpoint),
		Zone:     in.zones.Intern(e.Zone),
		Attempts: e.Count,
		Failed:   e.Errors,
		MeanMs:   e.WaitNs / settings.NsPerMs,
		SpanMs:   e.SpanNs / settings.NsPerMs,
		Load:     settings.ParseLoad(e.Load),
	}
}

// decodeRequestStats converts the request counts of a proxy.
func (in *instance) decodeRequestStats(e *event) planner.Event {
	return planner.RequestStats{
		Proxy:      e.Proxy,
		Class:      in.classes.Intern(e.Class),
		Requests:   e.Count,
		Unanswered: e.Errors,
		SpanMs:     e.SpanNs / settings.NsPerMs,
	}
}

// decodeSliceStats converts the request counts of a slice.
func (in *instance) decodeSliceStats(e *event) planner.Event {
	return planner.SliceStats{
		Slice:      e.Slice,
		Class:      in.classes.Intern(e.Class),
		Requests:   e.Count,
		Unanswered: e.Errors,
		SpanMs:     e.SpanNs / settings.NsPerMs,
	}
}
