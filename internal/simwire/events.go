package simwire

import (
	"encoding/json"
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// batch is one line from the simulator.
type batch struct {
	Clock  int64             `json:"sim_time"`
	Number int64             `json:"batch"`
	Events []json.RawMessage `json:"happened"`
}

// event holds the fields of every kind of event.
type event struct {
	Kind     string             `json:"kind"`
	Instance string             `json:"i"`
	Seed     int64              `json:"rng_seed"`
	Setup    map[string]any     `json:"setup"`
	Mode     string             `json:"mode"`
	Epoch    int                `json:"epoch"`
	Hosts    []listLine         `json:"hosts"`
	Ref      string             `json:"ref"`
	Endpoint string             `json:"endpoint"`
	Result   string             `json:"result"`
	Wait     float64            `json:"wait_time"`
	Load     map[string]float64 `json:"feedback"`
	By       int                `json:"by"`
	Contents string             `json:"contents"`
	Edge     int                `json:"edge"`
	Zone     string             `json:"zone"`
	Heft     float64            `json:"heft"`
	Active   bool               `json:"active"`
	Errors   int                `json:"errors"`
	Covers   float64            `json:"covers"`
	Count    int                `json:"count"`
	Qos      string             `json:"qos"`
	Table    int                `json:"tbl"`
}

// listLine is one entry of the endpoint list.
type listLine struct {
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"zone"`
	Machine  string  `json:"generation_hw"`
	Cell     int     `json:"group"`
	Mode     string  `json:"mode"`
	Heft     float64 `json:"heft"`
	Launched int64   `json:"launched"`
}

// note turns one event into a note.
func (p *pilot) note(e *event) (brain.Note, error) {
	switch e.Kind {
	case "discovery":
		return p.listing(e)
	case "bell":
		return brain.Alarm{Name: e.Ref}, nil
	case "ping_result":
		return brain.Probed{Endpoint: p.endpoints.In(e.Endpoint), OK: e.Result == "S", Outcome: e.Result,
			TookMs: e.Wait / translate.NsPerMs, Load: translate.Load(e.Load)}, nil
	case "peer":
		return brain.Gossip{From: e.By, Text: e.Contents}, nil
	case "stream_up":
		if !brain.Sound(e.Heft) {
			return nil, fmt.Errorf("rate %g of proxy %d is out of range", e.Heft, e.Edge)
		}
		return brain.Joined{Proxy: e.Edge, Zone: p.zones.In(e.Zone), Rate: e.Heft, Fresh: e.Active}, nil
	case "stream_down":
		return brain.Left{Proxy: e.Edge}, nil
	case "tally":
		return brain.Met{Endpoint: p.endpoints.In(e.Endpoint), Zone: p.zones.In(e.Zone), Tries: e.Count,
			Failed: e.Errors, MeanMs: e.Wait / translate.NsPerMs, SpanMs: e.Covers / translate.NsPerMs, Load: translate.Load(e.Load)}, nil
	case "proxy_stats":
		return brain.Demand{Proxy: e.Edge, Kind: p.kinds.In(e.Qos), Reqs: e.Count, Unanswered: e.Errors,
			SpanMs: e.Covers / translate.NsPerMs}, nil
	case "weight_seen":
		return brain.SliceDemand{Slice: e.Table, Kind: p.kinds.In(e.Qos), Reqs: e.Count, Unanswered: e.Errors,
			SpanMs: e.Covers / translate.NsPerMs}, nil
	case "handed":
		return brain.SliceCharge{Slice: e.Table, Given: e.Active}, nil
	case "stored_line":
		return brain.SliceLine{Slice: e.Table, Endpoint: p.endpoints.In(e.Endpoint), Weight: e.Heft}, nil
	case "confirmed":
		return brain.Applied{Proxy: e.Edge, Number: e.Epoch, TookMs: e.Wait / translate.NsPerMs}, nil
	}
	return nil, fmt.Errorf("unknown kind of event %q", e.Kind)
}

// listing turns a discovery event into a note.
func (p *pilot) listing(e *event) (brain.Note, error) {
	modes := map[string]brain.ListMode{"incr": brain.Changes, "total": brain.Whole, "warm_copy": brain.Remembered,
		"lost": brain.ListFailed}
	phases := map[string]brain.Phase{"live": brain.Ready, "quiescing": brain.Draining, "dead": brain.Gone}
	mode, ok := modes[e.Mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode of list %q", e.Mode)
	}
	l := brain.Listing{Mode: mode, Version: e.Epoch}
	for _, h := range e.Hosts {
		phase, ok := phases[h.Mode]
		if !ok {
			return nil, fmt.Errorf("unknown state %q of endpoint %q", h.Mode, h.Endpoint)
		}
		if !brain.SoundWeight(h.Heft) {
			return nil, fmt.Errorf("weight %g of endpoint %q is out of range", h.Heft, h.Endpoint)
		}
		entry := brain.Entry{Endpoint: p.endpoints.In(h.Endpoint), Zone: p.zones.In(h.Zone),
			Machine: p.models.In(h.Machine), Cell: h.Cell, Phase: phase, Weight: h.Heft}
		if h.Launched != 0 {
			entry.Started = p.ms(h.Launched)
		}
		l.Entries = append(l.Entries, entry)
	}
	return l, nil
}
