package simwire

import (
	"encoding/json"
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// batch is one line from the simulator.
type batch struct {
	ClockNs int64             `json:"sim_time"`
	Number  int64             `json:"batch"`
	Events  []json.RawMessage `json:"happened"`
}

// event holds the fields of every kind of event.
type event struct {
	Kind     string             `json:"kind"`
	Instance string             `json:"i"`
	Seed     int64              `json:"rng_seed"`
	Setup    map[string]any     `json:"setup"`
	Mode     string             `json:"mode"`
	Number   int                `json:"epoch"`
	Lines    []listLine         `json:"hosts"`
	Timer    string             `json:"ref"`
	Endpoint string             `json:"endpoint"`
	Result   string             `json:"result"`
	WaitNs   float64            `json:"wait_time"`
	Load     map[string]float64 `json:"feedback"`
	From     int                `json:"by"`
	Text     string             `json:"contents"`
	Proxy    int                `json:"edge"`
	Zone     string             `json:"zone"`
	Weight   float64            `json:"heft"`
	Active   bool               `json:"active"`
	Errors   int                `json:"errors"`
	SpanNs   float64            `json:"covers"`
	Count    int                `json:"count"`
	Class    string             `json:"qos"`
	Slice    int                `json:"tbl"`
}

// listLine is one entry of the endpoint list.
type listLine struct {
	Endpoint   string  `json:"endpoint"`
	Zone       string  `json:"zone"`
	Model      string  `json:"generation_hw"`
	Cell       int     `json:"group"`
	Mode       string  `json:"mode"`
	Weight     float64 `json:"heft"`
	LaunchedNs int64   `json:"launched"`
}

// decode turns one event into a note.
func (p *instance) decode(e *event) (brain.Note, error) {
	switch e.Kind {
	case "discovery":
		return p.decodeEndpoints(e)
	case "bell":
		return brain.Alarm{Name: e.Timer}, nil
	case "ping_result":
		return brain.Probed{Endpoint: p.endpoints.In(e.Endpoint), OK: e.Result == "S", Outcome: e.Result,
			TookMs: e.WaitNs / translate.NsPerMs, Load: translate.Load(e.Load)}, nil
	case "peer":
		return brain.Gossip{From: e.From, Text: e.Text}, nil
	case "stream_up":
		if !brain.Sound(e.Weight) {
			return nil, fmt.Errorf("rate %g of proxy %d is out of range", e.Weight, e.Proxy)
		}
		return brain.Joined{Proxy: e.Proxy, Zone: p.zones.In(e.Zone), Rate: e.Weight, Fresh: e.Active}, nil
	case "stream_down":
		return brain.Left{Proxy: e.Proxy}, nil
	case "tally":
		return brain.Met{Endpoint: p.endpoints.In(e.Endpoint), Zone: p.zones.In(e.Zone), Tries: e.Count,
			Failed: e.Errors, MeanMs: e.WaitNs / translate.NsPerMs, SpanMs: e.SpanNs / translate.NsPerMs, Load: translate.Load(e.Load)}, nil
	case "proxy_stats":
		return brain.Demand{Proxy: e.Proxy, Kind: p.classes.In(e.Class), Reqs: e.Count, Unanswered: e.Errors,
			SpanMs: e.SpanNs / translate.NsPerMs}, nil
	case "weight_seen":
		return brain.SliceDemand{Slice: e.Slice, Kind: p.classes.In(e.Class), Reqs: e.Count, Unanswered: e.Errors,
			SpanMs: e.SpanNs / translate.NsPerMs}, nil
	case "handed":
		return brain.SliceCharge{Slice: e.Slice, Given: e.Active}, nil
	case "stored_line":
		return brain.SliceLine{Slice: e.Slice, Endpoint: p.endpoints.In(e.Endpoint), Weight: e.Weight}, nil
	case "confirmed":
		return brain.Applied{Proxy: e.Proxy, Number: e.Number, TookMs: e.WaitNs / translate.NsPerMs}, nil
	}
	return nil, fmt.Errorf("unknown kind of event %q", e.Kind)
}

// decodeEndpoints turns a discovery event into a note.
func (p *instance) decodeEndpoints(e *event) (brain.Note, error) {
	modes := map[string]brain.ListMode{"incr": brain.Changes, "total": brain.Whole, "warm_copy": brain.Remembered,
		"lost": brain.ListFailed}
	phases := map[string]brain.Phase{"live": brain.Ready, "quiescing": brain.Draining, "dead": brain.Gone}
	mode, ok := modes[e.Mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode of list %q", e.Mode)
	}
	l := brain.Listing{Mode: mode, Version: e.Number}
	for _, h := range e.Lines {
		phase, ok := phases[h.Mode]
		if !ok {
			return nil, fmt.Errorf("unknown state %q of endpoint %q", h.Mode, h.Endpoint)
		}
		if !brain.SoundWeight(h.Weight) {
			return nil, fmt.Errorf("weight %g of endpoint %q is out of range", h.Weight, h.Endpoint)
		}
		entry := brain.Entry{Endpoint: p.endpoints.In(h.Endpoint), Zone: p.zones.In(h.Zone),
			Machine: p.models.In(h.Model), Cell: h.Cell, Phase: phase, Weight: h.Weight}
		if h.LaunchedNs != 0 {
			entry.Started = p.planTime(h.LaunchedNs)
		}
		l.Entries = append(l.Entries, entry)
	}
	return l, nil
}
