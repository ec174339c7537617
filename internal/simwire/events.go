package simwire

import (
	"encoding/json"
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// batch is one line from the simulator: what has happened up to a moment of its clock.
type batch struct {
	ClockNs int64             `json:"sim_time"`
	Number  int64             `json:"batch"`
	Events  []json.RawMessage `json:"happened"`
}

// The kinds of events. The first two are the host's, the others the planner's.
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

// healthCheckPassed is the result of a health check that went well.
const healthCheckPassed = "S"

// event is an event of any kind; each kind uses some of the fields. A field of the wrong type is an error in all, whose
// text names this type and the field's.
type event struct {
	Kind     string `json:"kind"`
	Instance string `json:"i"`

	// Of an instance's start.
	Seed  int64          `json:"rng_seed"`
	Setup map[string]any `json:"setup"`

	// Of the endpoint list; Number is its version there, and the number of the request in an acknowledgement.
	Mode   string     `json:"mode"`
	Number int        `json:"epoch"`
	Lines  []listLine `json:"hosts"`

	// Of a timer.
	Timer string `json:"ref"`

	// Of endpoints and proxies: who is meant.
	Endpoint string `json:"endpoint"`
	Proxy    int    `json:"edge"`
	Zone     string `json:"zone"`

	// Figures. WaitNs is a mean or single time, SpanNs the time that counts cover.
	Result string             `json:"result"`
	WaitNs float64            `json:"wait_time"`
	Load   map[string]float64 `json:"feedback"`
	Errors int                `json:"errors"`
	SpanNs float64            `json:"covers"`
	Count  int                `json:"count"`
	Class  string             `json:"qos"`

	// Of gossip: the sender's rank and what it says.
	From int    `json:"by"`
	Text string `json:"contents"`

	// Weight is a proxy's usual rate of requests or a line's weight; Active says of a proxy that it holds only its
	// standing table, of a slice that it is assigned.
	Weight float64 `json:"heft"`
	Active bool    `json:"active"`
	Slice  int     `json:"tbl"`
}

// listLine is one line of the endpoint list.
type listLine struct {
	Endpoint   string  `json:"endpoint"`
	Zone       string  `json:"zone"`
	Model      string  `json:"generation_hw"`
	Cell       int     `json:"group"`
	Mode       string  `json:"mode"`
	Weight     float64 `json:"heft"`
	LaunchedNs int64   `json:"launched"` // 0: in the distant past
}

// listModes are the simulator's names of the ways in which an endpoint list comes.
var listModes = map[string]brain.ListMode{
	"incr":      brain.Changes,
	"total":     brain.Whole,
	"warm_copy": brain.Remembered,
	"lost":      brain.ListFailed,
}

// phases are the simulator's names of an endpoint's phases.
var phases = map[string]brain.Phase{
	"live":      brain.Ready,
	"quiescing": brain.Draining,
	"dead":      brain.Gone,
}

// decode turns an event of the simulator into one of the planner. Names that are new get an index.
func (p *instance) decode(e *event) (brain.Note, error) {
	switch e.Kind {
	case eventEndpoints:
		return p.decodeEndpoints(e)
	case eventProxyJoined:
		return p.decodeProxyJoined(e)
	case eventProxyLeft:
		return brain.Left{Proxy: e.Proxy}, nil
	case eventTimer:
		return brain.Alarm{Name: e.Timer}, nil
	case eventHealthCheck:
		return p.decodeHealthCheck(e), nil
	case eventGossip:
		return brain.Gossip{From: e.From, Text: e.Text}, nil
	case eventEndpointStats:
		return p.decodeEndpointStats(e), nil
	case eventRequestStats:
		return p.decodeRequestStats(e), nil
	case eventSliceStats:
		return p.decodeSliceStats(e), nil
	case eventSliceAssignment:
		return brain.SliceCharge{Slice: e.Slice, Given: e.Active}, nil
	case eventSliceWeight:
		return brain.SliceLine{Slice: e.Slice, Endpoint: p.endpoints.In(e.Endpoint), Weight: e.Weight}, nil
	case eventAcknowledgement:
		return brain.Applied{Proxy: e.Proxy, Number: e.Number, TookMs: e.WaitNs / translate.NsPerMs}, nil
	}
	return nil, fmt.Errorf("unknown kind of event %q", e.Kind)
}

// decodeEndpoints decodes an endpoint list or a change of it.
func (p *instance) decodeEndpoints(e *event) (brain.Note, error) {
	mode, ok := listModes[e.Mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode of list %q", e.Mode)
	}
	listing := brain.Listing{Mode: mode, Version: e.Number}
	for i := range e.Lines {
		entry, err := p.decodeListLine(&e.Lines[i])
		if err != nil {
			return nil, err
		}
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, nil
}

// decodeListLine decodes one line of the list.
func (p *instance) decodeListLine(line *listLine) (brain.Entry, error) {
	phase, ok := phases[line.Mode]
	if !ok {
		return brain.Entry{}, fmt.Errorf("unknown state %q of endpoint %q", line.Mode, line.Endpoint)
	}
	if !brain.SoundWeight(line.Weight) {
		return brain.Entry{}, fmt.Errorf("weight %g of endpoint %q is out of range", line.Weight, line.Endpoint)
	}
	entry := brain.Entry{
		Endpoint: p.endpoints.In(line.Endpoint),
		Zone:     p.zones.In(line.Zone),
		Machine:  p.models.In(line.Model),
		Cell:     line.Cell,
		Phase:    phase,
		Weight:   line.Weight,
	}
	if line.LaunchedNs != 0 {
		entry.Started = p.planTime(line.LaunchedNs)
	}
	return entry, nil
}

func (p *instance) decodeProxyJoined(e *event) (brain.Note, error) {
	if !brain.Sound(e.Weight) {
		return nil, fmt.Errorf("rate %g of proxy %d is out of range", e.Weight, e.Proxy)
	}
	return brain.Joined{Proxy: e.Proxy, Zone: p.zones.In(e.Zone), Rate: e.Weight, Fresh: e.Active}, nil
}

func (p *instance) decodeHealthCheck(e *event) brain.Note {
	return brain.Probed{
		Endpoint: p.endpoints.In(e.Endpoint),
		OK:       e.Result == healthCheckPassed,
		Outcome:  e.Result,
		TookMs:   e.WaitNs / translate.NsPerMs,
		Load:     translate.Load(e.Load),
	}
}

func (p *instance) decodeEndpointStats(e *event) brain.Note {
	return brain.Met{
		Endpoint: p.endpoints.In(e.Endpoint),
		Zone:     p.zones.In(e.Zone),
		Tries:    e.Count,
		Failed:   e.Errors,
		MeanMs:   e.WaitNs / translate.NsPerMs,
		SpanMs:   e.SpanNs / translate.NsPerMs,
		Load:     translate.Load(e.Load),
	}
}

func (p *instance) decodeRequestStats(e *event) brain.Note {
	return brain.Demand{
		Proxy:      e.Proxy,
		Kind:       p.classes.In(e.Class),
		Reqs:       e.Count,
		Unanswered: e.Errors,
		SpanMs:     e.SpanNs / translate.NsPerMs,
	}
}

func (p *instance) decodeSliceStats(e *event) brain.Note {
	return brain.SliceDemand{
		Slice:      e.Slice,
		Kind:       p.classes.In(e.Class),
		Reqs:       e.Count,
		Unanswered: e.Errors,
		SpanMs:     e.SpanNs / translate.NsPerMs,
	}
}
