// Package controller is the runtime around the decisions: it turns what edges report into the module's notes, carries out
// what the module orders, and keeps the channel to the proxies. It decides nothing about routing. Core and Channel
// are driven with explicit times and hold no goroutine, so the same code runs on sockets (Loop) and in virtual time.
// Edges call Loop.Post and implement the small interfaces of this file; cmd/indigousher wires them.
package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/settings"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// Decider is what decides; brain.Brain is the one that ships.
type Decider interface {
	// Handle takes in what happened by nowMs and returns what is to be done about it.
	Handle(nowMs float64, notes []planner.Event) []planner.Command
	// Reconfigure takes over changed settings: all of them, changed and not. What was derived from the settings at the
	// start (zones, request kinds, parts of a zone) stays as it is.
	Reconfigure(settings map[string]any)
}

// Stream carries messages to one proxy. Send must not block; an error ends the stream, as does Close.
type Stream interface {
	Send(*wire.Orders) error
	Ask(*wire.Pace) error
	Close(reason string)
}

// EndpointSource is asked for the endpoint list; answers come as List or ListLost inputs.
type EndpointSource interface {
	Watch(on bool)
	Fetch()
}

// HealthChecker examines an endpoint; the answer comes as a Probed input.
type HealthChecker interface{ Probe(endpoint string) }

// GossipSender carries a short text to another pilot, or to all with peer -1. It may be lost.
type GossipSender interface{ Tell(peer int, text string) }

// Input is what an edge reports; one of the types below.
type Input any

// ProxyJoined reports a proxy's new stream.
type ProxyJoined struct {
	Stream Stream
	Hello  wire.Hello
}

// ProxyLeft reports that a stream has ended.
type ProxyLeft struct{ Stream Stream }

// LoadReported brings a proxy's sums.
type LoadReported struct {
	Stream Stream
	Sums   *wire.Sums
}

// Acked reports that a proxy has applied everything up to a mark.
type Acked struct {
	Stream Stream
	Done   wire.Done
}

// EndpointsListed brings entries of the list.
type EndpointsListed struct {
	List   *wire.List
	Cached bool // as it was before this start; it may be old
}

// SliceAssigned reports that the store has given a slice into this pilot's charge or taken it away.
type SliceAssigned struct{ Slices *wire.Slices }

// EndpointListLost reports that a call to the list failed or that its changes stopped.
type EndpointListLost struct{}

// HealthChecked answers a probe. Outcome is a short word: ok, error, denied, timeout, unreachable or reset.
type HealthChecked struct {
	Endpoint string
	Outcome  string
	TookMs   float64
	Load     []wire.Figure
}

// GossipReceived brings a peer's text.
type GossipReceived struct {
	From int
	Text string
}

// SettingsChanged brings changed terms for the module; only values that it reads anew each time may be among them.
type SettingsChanged struct{ Settings map[string]any }

// TelemetryBatch brings what an intake passed on, in a replay.
type TelemetryBatch struct{ Events []planner.Event }

// Options names all that a Core is made from.
type Options struct {
	Decider                  Decider
	Settings                 map[string]any // the map the Decider reads
	Zones, Machines, Classes []string
	LinesPerS, Backlog       float64
	HeadLines                int
	MaxMessages              int
	MessagesOverMs           float64
	Telemetry                telemetry.Options
	MaxProxies               int // distinct names in a life; more are refused
	EndpointSource           EndpointSource
	HealthChecker            HealthChecker
	Gossip                   GossipSender
	Relay                    Relay                               // where others hold the streams; nil: they are ours
	Log                      func(text string)                   // the module's own lines
	Malformed                func(what string, fields ...string) // what an edge said that can't be used
	Metrics                  *Metrics
	// Turn, if not nil, hears of each turn: its inputs, what the intake passed on, and the orders.
	OnTurn   func(nowMs float64, inputs []Input, told []planner.Event, orders []planner.Command)
	Replayed bool // what the intake passed on comes as Told; the core's own is not asked
}

// table is a numbered table as ordered so far.
type table struct {
	lines  map[int]float64
	levels map[int]planner.SetAdmission
}

// session is a joined proxy.
type session struct {
	hello       wire.Hello
	proxy, zone int
	stream      Stream
	bound       map[int]int                // kinds by table
	covered     int                        // kinds that some table serves
	holds       map[int]bool               // endpoints of what it held when it joined
	tables      map[int]map[string]float64 // that it said it has and that are not bound anew
	pending     *wire.Orders               // message of the Handle under way
	recent      []float64                  // when messages left to it lately
	marks       []int                      // sent to it and not answered, oldest first
}

// oddFigure counts what can be no figure of a load report.
const oddFigure = "figure of a load report out of range"

// mostMarks bounds the marks that a proxy may owe an answer to; what it owes beyond them is forgotten, oldest first.
const mostMarks = 1024

// Core holds what the orders so far amount to. It is used by one goroutine.
type Core struct {
	plan                              Options
	endpoints, zones, machines, kinds settings.Names
	proxies                           settings.Names
	sessions                          map[int]*session
	streams                           map[Stream]*session
	tables                            map[int]*table
	everywhere                        map[int]planner.SetAdmission
	withdrawn                         map[int]bool
	slices                            map[int]keyRange // in this pilot's charge, by number, which is that of their table
	stamps                            map[int]startStamp
	alarms                            alarms
	gate                              *gate
	told                              []planner.Event // of a replay, for this turn
	listed                            map[string]wire.Entry
	listVersion                       int
	listNow                           uint64 // on the list's clock, at listAt of ours
	listAt                            float64
	Channel                           *Channel
	now                               float64
	touched                           []*session
	sorted                            []*session // by proxy; nil: to be made
	begun                             bool
	relayed                           map[int]bool      // joined proxies whose streams the relay holds
	turn                              []planner.Command // what this turn ordered of the relay
	retired                           map[int]float64   // endpoints no longer listed, and since when
	ReportStats                       ReportStats
	Events                            int // notes handed to the module
}

// keyRange is which keys fall into a slice.
type keyRange struct{ from, to string }

// startStamp keeps an endpoint's start as the list stamped it and as the module was told.
type startStamp struct {
	stamp  uint64
	toldMs float64
}

// NewCore returns a core that has been told nothing.
func NewCore(p Options) *Core {
	c := &Core{plan: p, sessions: map[int]*session{}, streams: map[Stream]*session{}, tables: map[int]*table{},
		everywhere: map[int]planner.SetAdmission{}, withdrawn: map[int]bool{}, slices: map[int]keyRange{}, relayed: map[int]bool{}, retired: map[int]float64{}, stamps: map[int]startStamp{},
		Channel: NewChannel(p.LinesPerS, p.Backlog, p.MaxMessages, p.MessagesOverMs, p.Metrics)}
	for _, z := range p.Zones {
		c.zones.Intern(z)
	}
	for _, m := range p.Machines {
		c.machines.Intern(m)
	}
	for _, k := range p.Classes {
		c.kinds.Intern(k)
	}
	c.gate, c.listed = newGate(p.Telemetry, p.Classes), map[string]wire.Entry{}
	return c
}

// Due returns when Handle has something to do without input, in milliseconds of its clock.
func (c *Core) Due() float64 {
	if c.plan.Relay != nil { // reports come summed up
		return c.alarms.due()
	}
	return min(c.alarms.due(), c.gate.due())
}

// Handle takes in what came, lets the module decide and fills the channel. Times never go back.
func (c *Core) Handle(nowMs float64, inputs []Input) {
	c.now = max(c.now, nowMs)
	var notes []planner.Event
	for _, in := range inputs {
		notes = c.note(notes, in)
	}
	for _, name := range c.alarms.pop(c.now) {
		notes = append(notes, planner.TimerFired{Name: name})
	}
	before := len(notes)
	switch {
	case c.plan.Relay != nil: // reports came as inputs
	case c.plan.Replayed:
		notes = append(notes, c.told...)
		c.told = nil
	default:
		notes = c.tell(notes)
	}
	var orders []planner.Command
	asked := len(notes) > 0 || !c.begun // the module wakes itself for whatever else is due
	if asked {
		c.begun = true
		c.Events += len(notes)
		orders = c.plan.Metrics.decide(func() []planner.Command { return c.plan.Decider.Handle(c.now, notes) })
	}
	if c.plan.OnTurn != nil && (asked || len(inputs) > 0) {
		c.plan.OnTurn(c.now, inputs, notes[before:], orders)
	}
	for _, o := range orders {
		c.carryOut(o)
	}
	c.dispatch()
	c.handOver()
}

// FinishRecovery ends a replay: whoever was joined has left, and what is ordered from now on goes out by the plan's edges.
func (c *Core) FinishRecovery(p Options) {
	var leave []Input
	clear(c.slices) // the store gives them again
	for _, s := range c.inOrder() {
		leave = append(leave, ProxyLeft{s.stream})
	}
	c.Handle(c.now, leave)
	p.Decider, p.Settings = c.plan.Decider, c.plan.Settings
	c.plan = p
	c.Channel = NewChannel(p.LinesPerS, p.Backlog, p.MaxMessages, p.MessagesOverMs, p.Metrics)
	c.gate.lastMs = c.now
}

// Now returns the time of the last turn.
func (c *Core) Now() float64 { return c.now }

// Checkpoint returns inputs that bring another core to know who is joined and what is listed.
func (c *Core) Checkpoint() []Input {
	l := &wire.List{Version: c.listVersion, Now: c.listNow + uint64(max(0, c.now-c.listAt)), Whole: true}
	for _, name := range slices.Sorted(maps.Keys(c.listed)) {
		l.Entries = append(l.Entries, c.listed[name])
	}
	inputs := []Input{EndpointsListed{List: l}}
	for _, s := range c.inOrder() {
		inputs = append(inputs, ProxyJoined{s.stream, s.hello})
	}
	return inputs
}

// tell adds what the intake passes on, and asks streams for what it wants of them.
func (c *Core) tell(notes []planner.Event) []planner.Event {
	notes, asks, unknown := c.gate.tell(notes, c.now, c.plan.Metrics)
	for _, a := range asks {
		if err := a.stream.Ask(a.pace); err != nil {
			a.stream.Close(err.Error())
		}
	}
	for _, what := range slices.Sorted(maps.Keys(unknown)) {
		c.odd(what, fmt.Sprint(unknown[what]))
	}
	return notes
}

// note turns an input into notes.
func (c *Core) note(notes []planner.Event, in Input) []planner.Event {
	switch in := in.(type) {
	case ProxyJoined:
		return c.join(notes, in)
	case ProxyLeft:
		if s := c.streams[in.Stream]; s != nil {
			return append(notes, c.drop(s))
		}
	case LoadReported: // on sockets the loop hands it to the gate at once
		c.Report(c.now, in.Stream, in.Sums)
	case Acked:
		if s := c.streams[in.Stream]; s != nil && s.answers(in.Done.Mark) {
			return append(notes, planner.Ack{Proxy: s.proxy, Number: in.Done.Mark, TookMs: in.Done.TookMs})
		}
	case EndpointsListed:
		return append(notes, c.listing(in))
	case SliceAssigned:
		return c.slice(notes, in.Slices)
	case EndpointListLost:
		return append(notes, planner.EndpointUpdate{Mode: planner.UpdateFailed})
	case HealthChecked:
		if i, known := c.endpoints.Find(in.Endpoint); known {
			return append(notes, planner.HealthCheckResult{Endpoint: i, OK: in.Outcome == "ok", Outcome: in.Outcome,
				TookMs: in.TookMs, Load: load(in.Load, func(f wire.Figure) { c.odd(oddFigure, f.Name, fmt.Sprint(f.Value)) })})
		}
	case TelemetryBatch:
		for _, n := range in.Events {
			if c.knows(n) {
				c.told = append(c.told, n)
			} else {
				c.odd("recorded note of nobody known")
			}
		}
	case GossipReceived:
		return append(notes, planner.Gossip{From: in.From, Text: in.Text})
	case SettingsChanged:
		maps.Copy(c.plan.Settings, in.Settings)
		c.plan.Decider.Reconfigure(c.plan.Settings)
		c.Channel.Reconfigure(in.Settings)
	default:
		return c.relayedNote(notes, in)
	}
	return notes
}

// answers returns whether a mark was sent to a proxy and not answered yet. Were any number taken, a proxy that makes
// them up would have the module believe that its channel is empty.
func (s *session) answers(mark int) bool {
	i := slices.Index(s.marks, mark)
	if i < 0 {
		return false
	}
	s.marks = slices.Delete(s.marks, i, i+1)
	return true
}

// join takes in a stream. One under the same name is ended first: the newer one is the one that lives.
func (c *Core) join(notes []planner.Event, in ProxyJoined) []planner.Event {
	zone, known := c.zones.Find(in.Hello.Zone)
	if !known {
		c.odd("proxy of an unknown zone", in.Hello.Proxy, in.Hello.Zone)
		in.Stream.Close("unknown zone")
		return notes
	}
	if !planner.ValidRate(in.Hello.Rate) {
		c.odd("rate out of range", in.Hello.Proxy, fmt.Sprint(in.Hello.Rate))
		in.Stream.Close("rate out of range")
		return notes
	}
	proxy, known := c.proxies.Find(in.Hello.Proxy)
	if !known {
		if c.proxies.Len() >= c.plan.MaxProxies {
			c.odd("too many proxies", in.Hello.Proxy)
			in.Stream.Close("too many proxies")
			return notes
		}
		proxy = c.proxies.Intern(in.Hello.Proxy)
	}
	if old := c.sessions[proxy]; old != nil {
		notes = append(notes, c.drop(old))
		old.stream.Close("the proxy has come back on another stream")
	}
	s := &session{hello: in.Hello, proxy: proxy, zone: zone, stream: in.Stream, bound: map[int]int{}, holds: map[int]bool{},
		tables: map[int]map[string]float64{}}
	for _, name := range in.Hello.Holds {
		if i, known := c.endpoints.Find(name); known {
			s.holds[i] = true
		}
	}
	if !c.gate.join(c.now, s) {
		c.odd("too many proxies at once", in.Hello.Proxy)
		in.Stream.Close("too many proxies at once")
		return notes
	}
	for _, t := range in.Hello.Tables {
		s.tables[t.Table] = map[string]float64{}
		for _, l := range t.Lines {
			s.tables[t.Table][l.Endpoint] = l.Weight
		}
	}
	c.sessions[proxy], c.streams[in.Stream], c.sorted = s, s, nil
	c.plan.Metrics.joined(len(c.sessions))
	for _, number := range slices.Sorted(maps.Keys(c.slices)) {
		c.layRange(s, number)
	}
	return append(notes, planner.ProxyJoined{Proxy: proxy, Zone: zone, Rate: in.Hello.Rate, Fresh: in.Hello.Fresh})
}

// drop forgets a session and what waits for it in the channel.
func (c *Core) drop(s *session) planner.Event {
	delete(c.sessions, s.proxy)
	delete(c.streams, s.stream)
	c.sorted = nil
	c.Channel.Drop(s)
	c.gate.leave(s)
	c.plan.Metrics.joined(len(c.sessions))
	return planner.ProxyLeft{Proxy: s.proxy}
}

// listing turns list entries into a note. A start is told as its age on this pilot's clock when its stamp was first
// seen, and stays so: the module takes any other figure for a restart.
func (c *Core) listing(in EndpointsListed) planner.Event {
	l := in.List
	out, named, before := planner.EndpointUpdate{Mode: planner.Delta, Version: l.Version}, map[int]bool{}, c.listed
	c.listVersion, c.listNow, c.listAt = l.Version, l.Now, c.now
	if l.Whole {
		out.Mode = planner.Snapshot
		if in.Cached {
			out.Mode = planner.Cached
		}
		c.listed = map[string]wire.Entry{}
	}
	for _, e := range l.Entries {
		zone, known := c.zones.Find(e.Zone)
		if !known {
			c.odd("endpoint of an unknown zone", e.Endpoint, e.Zone)
			continue
		}
		if !planner.ValidWeight(e.Weight) { // its phase counts all the same: a drain is not lost over a wrong weight
			c.odd("weight out of range", e.Endpoint, fmt.Sprint(e.Weight))
			e.Weight = before[e.Endpoint].Weight
		}
		if c.listed[e.Endpoint] = e; e.Phase == wire.PhaseGone {
			delete(c.listed, e.Endpoint)
		}
		i := c.indexOf(e)
		if was, seen := c.stamps[i]; !seen || was.stamp != e.Started {
			told := 0.0
			if e.Started != 0 {
				told = c.now - float64(max(0, int64(l.Now-e.Started)))
				told += map[bool]float64{true: 1e-3}[told == 0] // 0 means the distant past
			}
			c.stamps[i] = startStamp{e.Started, told}
		}
		entry := planner.Entry{Endpoint: i, Zone: zone, Machine: c.machines.Intern(e.Machine), Cell: e.Cell,
			Phase: planner.Phase(e.Phase), Weight: e.Weight, Started: c.stamps[i].toldMs}
		named[i] = true
		if c.plan.Relay == nil {
			c.gate.list(c.now, e.Endpoint, entry)
		}
		out.Entries = append(out.Entries, entry)
	}
	if c.plan.Relay != nil {
		c.retire()
	} else if l.Whole {
		c.gate.gone(c.now, named)
	}
	return out
}

// slice turns a slice that is given or taken into notes: its charge, and the lines stored of it. Proxies learn the range
// of its keys and the stored lines, which stand until the module orders others. A slice's number is that of its table, so
// one that the deployment does not have would wipe a zone's table at every proxy.
func (c *Core) slice(notes []planner.Event, x *wire.Slices) []planner.Event {
	if most, _ := c.plan.Settings["slices"].(float64); float64(x.Slice) >= most {
		c.odd("slice that the terms do not tell of", fmt.Sprint(x.Slice))
		return notes
	}
	c.gate.slice(x.Slice, x.Given)
	delete(c.tables, x.Slice)
	if delete(c.slices, x.Slice); x.Given {
		c.slices[x.Slice] = keyRange{x.From, x.To}
	}
	notes = append(notes, planner.SliceAssignment{Slice: x.Slice, Assigned: x.Given})
	for _, l := range x.Lines {
		if i, known := c.endpoints.Find(l.Endpoint); known && x.Given && planner.ValidWeight(l.Weight) {
			notes = append(notes, planner.SliceWeight{Slice: x.Slice, Endpoint: i, Weight: l.Weight})
			c.table(x.Slice).lines[i] = l.Weight
		} else {
			c.odd("stored line of an unknown endpoint or weight", l.Endpoint, fmt.Sprint(l.Weight))
		}
	}
	for _, s := range c.inOrder() {
		if x.Given {
			c.layRange(s, x.Slice)
		} else {
			c.write(s, wire.Op{Kind: wire.OpRange, Table: x.Slice, Out: true})
		}
	}
	return notes
}

// layRange sends a slice's range of keys with its lines and levels to a proxy.
func (c *Core) layRange(s *session, number int) {
	r := c.slices[number]
	c.write(s, wire.Op{Kind: wire.OpRange, Table: number, From: r.from, To: r.to})
	c.layTable(s, number, nil, false)
}

// carryOut does one order.
func (c *Core) carryOut(o planner.Command) {
	if c.relay(o) {
		return
	}
	switch o := o.(type) {
	case planner.SetWeight:
		c.setLine(o)
	case planner.ClearTable:
		delete(c.tables, o.Table)
		c.toUsers(o.Table, wire.Op{Kind: wire.OpClear, Table: o.Table})
	case planner.AssignTable:
		c.bind(o)
	case planner.SetExcluded:
		c.withdraw(o)
	case planner.SetAdmission:
		c.admit(o)
	case planner.AckRequest:
		for _, s := range c.inOrder() {
			if s.pending != nil || o.All {
				c.write(s, wire.Op{Kind: wire.OpMark, Number: o.Number})
				s.marks = append(s.marks, o.Number)
				s.marks = s.marks[max(0, len(s.marks)-mostMarks):]
			}
		}
	case planner.HealthCheck:
		c.plan.HealthChecker.Probe(c.endpoints.Name(o.Endpoint))
	case planner.SendGossip:
		c.plan.Gossip.Tell(o.Peer, o.Text)
	case planner.SetTimer:
		c.alarms.push(o.AtMs, o.Name)
	case planner.WatchEndpoints:
		c.plan.EndpointSource.Watch(o.On)
	case planner.FetchEndpoints:
		c.plan.EndpointSource.Fetch()
	case planner.Log:
		c.plan.Log(o.Text)
	default:
		c.odd("order that can't be carried out", fmt.Sprintf("%T", o))
	}
}

func (c *Core) table(number int) *table {
	if c.tables[number] == nil {
		c.tables[number] = &table{lines: map[int]float64{}, levels: map[int]planner.SetAdmission{}}
	}
	return c.tables[number]
}

// setLine changes a line at all users of its table. An endpoint shut out stays so where it was not held before.
func (c *Core) setLine(o planner.SetWeight) {
	t, name := c.table(o.Table), c.endpoints.Name(o.Endpoint)
	c.toUsers(o.Table, wire.Op{Kind: wire.OpSet, Table: o.Table, Endpoint: name, Weight: o.Weight})
	if o.Weight == 0 {
		delete(t.lines, o.Endpoint)
		return
	}
	if c.withdrawn[o.Endpoint] && t.lines[o.Endpoint] == 0 {
		c.toUsers(o.Table, wire.Op{Kind: wire.OpWithdraw, Endpoint: name, Out: true})
	}
	t.lines[o.Endpoint] = o.Weight
}

// bind sends a whole table, or what differs from the one that the proxy said it has: its lines, levels, those for all, and which of its endpoints are shut out.
func (c *Core) bind(o planner.AssignTable) {
	s := c.sessions[o.Proxy]
	if s == nil {
		c.odd("bind of a proxy that has left", c.proxies.Name(o.Proxy))
		return
	}
	kinds := o.Classes
	if kinds == 0 {
		kinds = 1<<c.kinds.Len() - 1
	}
	for number, held := range s.bound {
		if s.bound[number] = held &^ kinds; s.bound[number] == 0 {
			delete(s.bound, number)
		}
	}
	s.bound[o.Table] |= kinds
	s.covered |= kinds
	has, keep := s.tables[o.Table]
	delete(s.tables, o.Table)
	c.write(s, wire.Op{Kind: wire.OpBind, Table: o.Table, Kinds: kinds, Keep: keep})
	c.layTable(s, o.Table, has, keep)
}

// layTable writes the lines of a table, but for those that the proxy has kept, and its levels.
func (c *Core) layTable(s *session, number int, has map[string]float64, keep bool) {
	t := c.table(number)
	for _, i := range slices.Sorted(maps.Keys(t.lines)) {
		name := c.endpoints.Name(i)
		if !keep || has[name] != t.lines[i] {
			c.write(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name, Weight: t.lines[i]})
		}
		delete(has, name)
		if c.withdrawn[i] {
			c.write(s, wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.Name(i), Out: true})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(has)) { // what it has beyond that
		c.write(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name})
	}
	for _, levels := range []map[int]planner.SetAdmission{t.levels, c.everywhere} {
		for _, k := range slices.Sorted(maps.Keys(levels)) {
			c.write(s, admitOp(levels[k]))
		}
	}
}

// withdraw tells the proxies that hold an endpoint, as far as this pilot knows what they hold.
func (c *Core) withdraw(o planner.SetExcluded) {
	if c.withdrawn[o.Endpoint] = o.Excluded; !o.Excluded {
		delete(c.withdrawn, o.Endpoint)
	}
	op := wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.Name(o.Endpoint), Out: o.Excluded}
	for _, s := range c.inOrder() {
		if c.holds(s, o.Endpoint) {
			c.write(s, op)
		}
	}
}

func (c *Core) holds(s *session, endpoint int) bool {
	if s.covered != 1<<c.kinds.Len()-1 && s.holds[endpoint] {
		return true
	}
	for number := range s.bound {
		if c.table(number).lines[endpoint] > 0 {
			return true
		}
	}
	for number := range c.slices {
		if c.table(number).lines[endpoint] > 0 {
			return true
		}
	}
	return false
}

func (c *Core) admit(o planner.SetAdmission) {
	if o.Table == planner.EveryTable {
		c.everywhere[o.Classes] = o
		for _, s := range c.inOrder() {
			c.write(s, admitOp(o))
		}
		return
	}
	c.table(o.Table).levels[o.Classes] = o
	c.toUsers(o.Table, admitOp(o))
}

func admitOp(o planner.SetAdmission) wire.Op {
	return wire.Op{Kind: wire.OpAdmit, Table: o.Table, Kinds: o.Classes, Weight: o.Level, Again: o.RetryMode}
}

// toUsers adds a line to the message of each proxy that uses a table.
func (c *Core) toUsers(number int, op wire.Op) {
	for _, s := range c.inOrder() {
		_, uses := s.bound[number]
		if _, slice := c.slices[number]; uses || slice {
			c.write(s, op)
		}
	}
}

// inOrder returns the sessions by proxy. The list is made anew only after somebody has come or gone.
func (c *Core) inOrder() []*session {
	if c.sorted == nil {
		for _, i := range slices.Sorted(maps.Keys(c.sessions)) {
			c.sorted = append(c.sorted, c.sessions[i])
		}
	}
	return c.sorted
}

// write adds a line to a proxy's message of this Handle.
func (c *Core) write(s *session, op wire.Op) {
	if s.pending == nil {
		s.pending = &wire.Orders{Lines: c.plan.HeadLines}
		c.touched = append(c.touched, s)
	}
	s.pending.Ops = append(s.pending.Ops, op)
	s.pending.Lines++
}

// dispatch puts the messages of this Handle into the channel, by proxy.
func (c *Core) dispatch() {
	slices.SortFunc(c.touched, func(a, b *session) int { return a.proxy - b.proxy })
	for _, s := range c.touched {
		c.Channel.Enqueue(c.now, s, s.pending)
		s.pending = nil
	}
	c.touched = c.touched[:0]
}

func (c *Core) odd(what string, fields ...string) {
	c.ReportStats.Malformed++
	c.plan.Metrics.oddity(what)
	c.plan.Malformed(what, fields...)
}

// knows returns whether a recorded note names what there is, in figures that the intake would have passed on. The module
// takes any index for one that it may use.
func (c *Core) knows(n planner.Event) bool {
	within := func(i, n int) bool { return i >= 0 && i < n }
	switch n := n.(type) {
	case planner.EndpointStats:
		for _, v := range n.Load {
			if !planner.ValidRate(v) {
				return false
			}
		}
		return within(n.Endpoint, c.endpoints.Len()) && within(n.Zone, c.zones.Len()) && n.Failed >= 0 && n.Attempts >= n.Failed &&
			planner.ValidRate(n.MeanMs) && planner.ValidRate(n.SpanMs)
	case planner.RequestStats:
		return within(n.Proxy, c.proxies.Len()) && within(n.Class, c.kinds.Len()) && n.Requests >= 0 && planner.ValidRate(n.SpanMs)
	case planner.SliceStats:
		return within(n.Class, c.kinds.Len()) && n.Requests >= 0 && planner.ValidRate(n.SpanMs)
	}
	return false
}

// load turns a load report into the module's. Figures that none can be are left out and said to wrong.
func load(figures []wire.Figure, wrong func(f wire.Figure)) planner.Load {
	if len(figures) == 0 {
		return nil
	}
	l := make(planner.Load, len(figures))
	for _, f := range figures {
		if !planner.ValidRate(f.Value) {
			wrong(f)
			continue
		}
		l[f.Name] = f.Value
	}
	return l
}

// Report takes a proxy's sums, also in between turns; the intake passes them on when its period is over.
func (c *Core) Report(nowMs float64, s Stream, sums *wire.Sums) { c.gate.take(nowMs, s, sums) }

// EndpointName returns the name behind an index of the module's.
func (c *Core) EndpointName(i int) string { return c.endpoints.Name(i) }
