// Package pilot is the runtime around the decisions: it turns what edges report into the module's notes, carries out
// what the module orders, and keeps the channel to the proxies. It decides nothing about routing. Core and Channel
// are driven with explicit times and hold no goroutine, so the same code runs on sockets (Loop) and in virtual time.
// Edges call Loop.Post and implement the small interfaces of this file; cmd/indigousher wires them.
package pilot

import (
	"indigousher/brain"
	"indigousher/internal/translate"
)

// Core holds what the orders so far amount to. It is used by one goroutine.
type Core struct {
	plan                   Plan
	endpoints              endpointRegistry
	zones, machines, kinds translate.Names
	proxies                translate.Names
	sessions               map[int]*session
	streams                map[Stream]*session
	tables                 map[int]*table
	globalLevels           map[int]brain.Admit
	excluded               map[int]bool
	sliceRanges            map[int]keyRange // in this pilot's charge, by number, which is that of their table
	timers                 timerQueue
	reports                *reportGate
	recorded               []brain.Note // of a replay, for this turn
	Channel                *Channel
	now                    float64
	touched                []*session
	ordered                []*session // by proxy; nil: to be made
	started                bool
	relayProxies           map[int]bool  // joined proxies whose streams the relay holds
	relayCommands          []brain.Order // what this turn ordered of the relay
	Believed               Believed
	Heard                  int // notes handed to the module
}

// NewCore returns a core that has been told nothing.
func NewCore(p Plan) *Core {
	c := &Core{plan: p, sessions: map[int]*session{}, streams: map[Stream]*session{}, tables: map[int]*table{},
		globalLevels: map[int]brain.Admit{}, excluded: map[int]bool{}, sliceRanges: map[int]keyRange{}, relayProxies: map[int]bool{}, endpoints: newEndpointRegistry(),
		Channel: NewChannel(p.LinesPerS, p.Backlog, p.MessagesMost, p.MessagesOverMs, p.Meter)}
	for _, z := range p.Zones {
		c.zones.In(z)
	}
	for _, m := range p.Machines {
		c.machines.In(m)
	}
	for _, k := range p.Kinds {
		c.kinds.In(k)
	}
	c.reports = newReportGate(p.Intake, p.Kinds)
	return c
}

// Due returns when Handle has something to do without input, in milliseconds of its clock.
func (c *Core) Due() float64 {
	if c.plan.Relay != nil { // reports come summed up
		return c.timers.due()
	}
	return min(c.timers.due(), c.reports.due())
}

// Handle takes in what came, lets the module decide and fills the channel. Times never go back.
func (c *Core) Handle(nowMs float64, inputs []Input) {
	c.now = max(c.now, nowMs)
	var events []brain.Note
	for _, in := range inputs {
		events = c.handleInput(events, in)
	}
	for _, name := range c.timers.expire(c.now) {
		events = append(events, brain.Alarm{Name: name})
	}
	before := len(events)
	events = c.appendTelemetry(events)
	var commands []brain.Order
	asked := len(events) > 0 || !c.started // the module wakes itself for whatever else is due
	if asked {
		c.started = true
		c.Heard += len(events)
		commands = c.plan.Meter.timeDecider(func() []brain.Order { return c.plan.Decider.Handle(c.now, events) })
	}
	if c.plan.Turn != nil && (asked || len(inputs) > 0) {
		c.plan.Turn(c.now, inputs, events[before:], commands)
	}
	for _, o := range commands {
		c.execute(o)
	}
	c.dispatch()
	c.flushRelay()
}

// Now returns the time of the last turn.
func (c *Core) Now() float64 { return c.now }

// EndpointName returns the name behind an index of the module's.
func (c *Core) EndpointName(i int) string { return c.endpoints.name(i) }
