// Package simulator carries the simulator's JSON to and from the types of the decision module. It decides nothing.
package simulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// pilot is one instance with its own names between ids and indices.
type pilot struct {
	name                            string
	brain                           *planner.Planner
	origin                          int64
	endpoints, zones, kinds, models settings.Names
	joined                          map[int]bool
}

// host keeps the live instances; they share nothing.
type host struct{ pilots map[string]*pilot }

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

// reply is one line to the simulator.
type reply struct {
	Number int64            `json:"batch"`
	Orders []map[string]any `json:"orders"`
}

// longest bounds a line of input in bytes.
const longest = 1 << 26

// errLong says that a line passes the bound.
var errLong = fmt.Errorf("line longer than %d bytes", longest)

// readLine reads up to a line's end, or as much as is left.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > longest {
			return nil, errLong
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// Serve answers batches from in on out until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{pilots: map[string]*pilot{}}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriter(out)
	for line := 1; ; line++ {
		text, err := readLine(r)
		if len(bytes.TrimSpace(text)) > 0 {
			if err := h.answer(text, w); err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read input: %w", err)
		}
	}
}

// answer reads one batch, lets each instance handle its part, and writes the reply.
func (h *host) answer(text []byte, w *bufio.Writer) error {
	var in batch
	if err := json.Unmarshal(text, &in); err != nil {
		return fmt.Errorf("malformed batch: %w", err)
	}
	order, notes, err := h.sort(&in)
	if err != nil {
		return err
	}
	out := reply{Number: in.Number, Orders: []map[string]any{}}
	for _, p := range order {
		acts, err := p.handle(in.Clock, notes[p])
		if err != nil {
			return err
		}
		out.Orders = append(out.Orders, acts...)
	}
	line, err := json.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode reply: %w", err)
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return w.Flush()
}

// sort turns a batch into notes for each instance, in the order in which the instances appear.
func (h *host) sort(in *batch) ([]*pilot, map[*pilot][]planner.Event, error) {
	var order []*pilot
	notes := map[*pilot][]planner.Event{}
	for n, raw := range in.Events {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, nil, fmt.Errorf("malformed event %d: %w", n+1, err)
		}
		if e.Kind == "spawn" {
			h.pilots[e.Instance] = start(&e, in.Clock)
			order = append(order, h.pilots[e.Instance])
			continue
		}
		p := h.pilots[e.Instance]
		if p == nil {
			return nil, nil, fmt.Errorf("event %d: %q for unknown instance %q", n+1, e.Kind, e.Instance)
		}
		if e.Kind == "teardown" {
			delete(h.pilots, e.Instance)
			continue
		}
		note, err := p.note(&e)
		if err != nil {
			return nil, nil, fmt.Errorf("event %d: %w", n+1, err)
		}
		if _, seen := notes[p]; !seen && !contains(order, p) {
			order = append(order, p)
		}
		notes[p] = append(notes[p], note)
	}
	live := order[:0]
	for _, p := range order {
		if h.pilots[p.name] == p {
			live = append(live, p)
		}
	}
	return live, notes, nil
}

func contains(list []*pilot, p *pilot) bool {
	for _, q := range list {
		if q == p {
			return true
		}
	}
	return false
}

// start makes an instance from its first event.
func start(e *event, clock int64) *pilot {
	d := settings.Parse(e.Setup)
	return &pilot{name: e.Instance, origin: clock, joined: map[int]bool{}, zones: d.Zones, kinds: d.Classes,
		models: d.Machines, brain: planner.New(e.Seed, d.Settings)}
}

// handle runs the module and turns a panic in it into the wire's fault.
func (p *pilot) handle(clock int64, notes []planner.Event) (acts []map[string]any, err error) {
	defer func() {
		if r := recover(); r != nil {
			acts, err = []map[string]any{{"kind": "broken", "i": p.name, "body_text": fmt.Sprint(r)}}, nil
		}
	}()
	for _, n := range notes {
		switch n := n.(type) {
		case planner.ProxyJoined:
			p.joined[n.Proxy] = true
		case planner.ProxyLeft:
			delete(p.joined, n.Proxy)
		}
	}
	for _, o := range p.brain.Handle(p.ms(clock), notes) {
		act, err := p.act(o)
		if err != nil {
			return nil, fmt.Errorf("instance %s: %w", p.name, err)
		}
		act["i"] = p.name
		acts = append(acts, act)
	}
	return acts, nil
}

// ms turns a clock value into milliseconds since the instance's start.
func (p *pilot) ms(clock int64) float64 { return float64(clock-p.origin) / settings.NsPerMs }

// note turns one event into a note.
func (p *pilot) note(e *event) (planner.Event, error) {
	switch e.Kind {
	case "discovery":
		return p.listing(e)
	case "bell":
		return planner.TimerFired{Name: e.Ref}, nil
	case "ping_result":
		return planner.HealthCheckResult{Endpoint: p.endpoints.Intern(e.Endpoint), OK: e.Result == "S", Outcome: e.Result,
			TookMs: e.Wait / settings.NsPerMs, Load: settings.ParseLoad(e.Load)}, nil
	case "peer":
		return planner.Gossip{From: e.By, Text: e.Contents}, nil
	case "stream_up":
		if !planner.ValidRate(e.Heft) {
			return nil, fmt.Errorf("rate %g of proxy %d is out of range", e.Heft, e.Edge)
		}
		return planner.ProxyJoined{Proxy: e.Edge, Zone: p.zones.Intern(e.Zone), Rate: e.Heft, Fresh: e.Active}, nil
	case "stream_down":
		return planner.ProxyLeft{Proxy: e.Edge}, nil
	case "tally":
		return planner.EndpointStats{Endpoint: p.endpoints.Intern(e.Endpoint), Zone: p.zones.Intern(e.Zone), Attempts: e.Count,
			Failed: e.Errors, MeanMs: e.Wait / settings.NsPerMs, SpanMs: e.Covers / settings.NsPerMs, Load: settings.ParseLoad(e.Load)}, nil
	case "proxy_stats":
		return planner.RequestStats{Proxy: e.Edge, Class: p.kinds.Intern(e.Qos), Requests: e.Count, Unanswered: e.Errors,
			SpanMs: e.Covers / settings.NsPerMs}, nil
	case "weight_seen":
		return planner.SliceStats{Slice: e.Table, Class: p.kinds.Intern(e.Qos), Requests: e.Count, Unanswered: e.Errors,
			SpanMs: e.Covers / settings.NsPerMs}, nil
	case "handed":
		return planner.SliceAssignment{Slice: e.Table, Assigned: e.Active}, nil
	case "stored_line":
		return planner.SliceWeight{Slice: e.Table, Endpoint: p.endpoints.Intern(e.Endpoint), Weight: e.Heft}, nil
	case "confirmed":
		return planner.Ack{Proxy: e.Edge, Number: e.Epoch, TookMs: e.Wait / settings.NsPerMs}, nil
	}
	return nil, fmt.Errorf("unknown kind of event %q", e.Kind)
}

// listing turns a discovery event into a note.
func (p *pilot) listing(e *event) (planner.Event, error) {
	modes := map[string]planner.UpdateMode{"incr": planner.Delta, "total": planner.Snapshot, "warm_copy": planner.Cached,
		"lost": planner.UpdateFailed}
	phases := map[string]planner.Phase{"live": planner.Ready, "quiescing": planner.Draining, "dead": planner.Gone}
	mode, ok := modes[e.Mode]
	if !ok {
		return nil, fmt.Errorf("unknown mode of list %q", e.Mode)
	}
	l := planner.EndpointUpdate{Mode: mode, Version: e.Epoch}
	for _, h := range e.Hosts {
		phase, ok := phases[h.Mode]
		if !ok {
			return nil, fmt.Errorf("unknown state %q of endpoint %q", h.Mode, h.Endpoint)
		}
		if !planner.ValidWeight(h.Heft) {
			return nil, fmt.Errorf("weight %g of endpoint %q is out of range", h.Heft, h.Endpoint)
		}
		entry := planner.Entry{Endpoint: p.endpoints.Intern(h.Endpoint), Zone: p.zones.Intern(h.Zone),
			Machine: p.models.Intern(h.Machine), Cell: h.Cell, Phase: phase, Weight: h.Heft}
		if h.Launched != 0 {
			entry.Started = p.ms(h.Launched)
		}
		l.Entries = append(l.Entries, entry)
	}
	return l, nil
}

// act turns one order into an action.
func (p *pilot) act(o planner.Command) (map[string]any, error) {
	switch o := o.(type) {
	case planner.SetWeight:
		return p.named(o.Endpoint, map[string]any{"kind": "set_weight", "tbl": o.Table, "heft": o.Weight})
	case planner.ClearTable:
		return map[string]any{"kind": "reset_table", "tbl": o.Table}, nil
	case planner.AssignTable:
		if !p.joined[o.Proxy] {
			return nil, fmt.Errorf("bind of proxy %d, which is not joined", o.Proxy)
		}
		return map[string]any{"kind": "use_table", "tbl": o.Table, "lanes": o.Classes, "edge": o.Proxy}, nil
	case planner.SetExcluded:
		return p.named(o.Endpoint, map[string]any{"kind": "withdraw", "active": o.Excluded})
	case planner.SetAdmission:
		return map[string]any{"kind": "gate_class", "tbl": o.Table, "level": o.Level, "lanes": o.Classes,
			"retry_mode": o.RetryMode}, nil
	case planner.AckRequest:
		return map[string]any{"kind": "checkpoint", "epoch": o.Number, "active": o.All}, nil
	case planner.HealthCheck:
		return p.named(o.Endpoint, map[string]any{"kind": "health_check"})
	case planner.SendGossip:
		return map[string]any{"kind": "memo_to", "neighbour_id": o.Peer, "contents": o.Text}, nil
	case planner.SetTimer:
		due := p.origin + int64(math.Round(o.AtMs*settings.NsPerMs))
		return map[string]any{"kind": "set_timer", "due_at": due, "ref": o.Name}, nil
	case planner.WatchEndpoints:
		return map[string]any{"kind": "stream_changes", "active": o.On}, nil
	case planner.FetchEndpoints:
		return map[string]any{"kind": "query_all"}, nil
	case planner.Log:
		return map[string]any{"kind": "print", "body_text": o.Text}, nil
	}
	return nil, errors.New("unknown order " + strconv.Quote(fmt.Sprintf("%T", o)))
}

// named adds an endpoint's id to an action.
func (p *pilot) named(endpoint int, act map[string]any) (map[string]any, error) {
	name, err := p.endpoints.Lookup(endpoint)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", act["kind"], err)
	}
	act["endpoint"] = name
	return act, nil
}
