// Package controller is the runtime around the decisions: it turns what transports report into the decider's events,
// carries out what the decider commands, and keeps the channel to the proxies. It decides nothing about routing. Core
// and Channel are driven with explicit times and hold no goroutine, so the same code runs on sockets (Loop) and in
// virtual time. Transports call Loop.Post and implement the small interfaces of transports.go; cmd/indigousher wires
// them.
package controller

import (
	"indigousher/internal/settings"
	"indigousher/planner"
)

// Core is the runtime of one pilot: inputs in, commands out, one turn at a time. It is used by one goroutine, but
// for Report. Each piece of its state has one owner; times are in ms on the pilot's own clock.
type Core struct {
	options Options

	// Names by index, as the decider knows them.
	zones, machines, classes settings.Names
	proxies                  settings.Names

	endpoints endpointRegistry // the list, start times and indices of endpoints
	sessions  sessionRegistry  // joined proxies
	reports   *reportGate      // what proxies report, until it is passed on
	timers    timerQueue       // wake-ups that the decider asked for
	outbox    outbox           // messages of the turn under way

	// What the commands so far amount to.
	tables   tableStore
	excluded exclusions
	slices   assignedSlices

	relayed relayedProxies // where a relay holds the streams

	nowMs             float64         // of the last turn
	started           bool            // whether the decider was asked at all
	recordedTelemetry []planner.Event // telemetry of a replay, for this turn

	// Channel paces messages to proxies.
	Channel *Channel
	// ReportStats counts what was taken in of reports.
	ReportStats ReportStats
	// Events counts the events handed to the decider.
	Events int
}

// NewCore returns a core that knows no endpoint and no proxy.
func NewCore(options Options) *Core {
	c := &Core{
		endpoints: newEndpointRegistry(),
		sessions:  newSessionRegistry(),
		reports:   newReportGate(options.Telemetry, options.Classes),
		tables:    newTableStore(),
		excluded:  exclusions{},
		slices:    assignedSlices{},
		relayed:   newRelayedProxies(),
	}
	for _, name := range options.Zones {
		c.zones.Intern(name)
	}
	for _, name := range options.Machines {
		c.machines.Intern(name)
	}
	for _, name := range options.Classes {
		c.classes.Intern(name)
	}
	c.applyOptions(options)
	return c
}

// applyOptions has the core work by other options from now on, with an empty channel.
func (c *Core) applyOptions(options Options) {
	c.options = options
	c.outbox.headLines = options.HeadLines
	c.Channel = NewChannel(options.LinesPerS, options.Backlog, options.MaxMessages, options.MessagesOverMs,
		options.Metrics)
}

// Due returns when Handle has something to do without input, in milliseconds of its clock.
func (c *Core) Due() float64 {
	if c.options.Relay != nil { // reports come summed up
		return c.timers.due()
	}
	return min(c.timers.due(), c.reports.due())
}

// Handle runs one turn: it takes in what came, lets the decider decide and fills the channel. Times never go back.
func (c *Core) Handle(nowMs float64, inputs []Input) {
	c.nowMs = max(c.nowMs, nowMs)
	var events []planner.Event
	for _, in := range inputs {
		events = c.handleInput(events, in)
	}
	for _, name := range c.timers.expire(c.nowMs) {
		events = append(events, planner.TimerFired{Name: name})
	}
	telemetryStart := len(events)
	events = c.appendTelemetry(events)
	commands, asked := c.decide(events)
	if c.options.OnTurn != nil && (asked || len(inputs) > 0) {
		c.options.OnTurn(c.nowMs, inputs, events[telemetryStart:], commands)
	}
	for _, command := range commands {
		c.execute(command)
	}
	c.outbox.flush(c.nowMs, c.Channel)
	c.relayed.flush(c.options.Relay, &c.endpoints)
}

// decide asks the decider if there is news for it. The first turn asks in any case; from then on the decider wakes
// itself, by timers, for whatever else is due.
func (c *Core) decide(events []planner.Event) (commands []planner.Command, asked bool) {
	if len(events) == 0 && c.started {
		return nil, false
	}
	c.started = true
	c.Events += len(events)
	commands = c.options.Metrics.timeDecider(func() []planner.Command {
		return c.options.Decider.Handle(c.nowMs, events)
	})
	return commands, true
}

// Now returns the time of the last turn.
func (c *Core) Now() float64 { return c.nowMs }

// EndpointName returns the name behind an index of the decider's.
func (c *Core) EndpointName(i int) string { return c.endpoints.name(i) }
