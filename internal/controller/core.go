// Package controller is the runtime of a pilot. It translates inputs from transports into events for the decider (the
// planner), executes the decider's commands, and queues messages to proxies. It makes no routing decisions.
//
// Processing is divided into turns. A turn takes a batch of inputs, calls the decider at most once, and sends at most
// one message to each proxy. The size of messages is counted in lines: one for each operation, plus a fixed overhead
// for each message.
//
// Core and Channel take the current time as an argument and start no goroutines, so the same code runs in a live
// process (Loop) and in simulated time. Transports call Loop.Post and implement the interfaces in transports.go;
// internal/daemon and internal/platform connect them.
package controller

import (
	"indigousher/internal/settings"
	"indigousher/planner"
)

// Core is the runtime of one pilot. Handle runs one turn: it turns inputs into events, calls the decider and executes
// its commands. Only Report may be called concurrently; all other methods must be called from one goroutine. Times are
// in ms on the pilot's own clock.
type Core struct {
	options Options

	// Names by index. The decider refers to these by index only.
	zones, machines, classes settings.Names
	proxies                  settings.Names

	endpoints endpointRegistry // the endpoint list, and the index and start time of each endpoint
	sessions  sessionRegistry  // joined proxies
	reports   *reportGate      // aggregates load reports until the next flush
	timers    timerQueue       // timers set by the decider
	outbox    outbox           // messages of the current turn

	// The state that results from the commands executed so far.
	tables   tableStore
	excluded exclusions
	slices   assignedSlices

	relayed relayedProxies // proxies connected through a relay; unused without one

	nowMs             float64         // time of the last turn
	started           bool            // whether the decider has been called
	recordedTelemetry []planner.Event // replayed telemetry for the current turn

	// Channel is the rate-limited queue of messages to proxies.
	Channel *Channel
	// ReportStats counts accepted reports and malformed input.
	ReportStats ReportStats
	// EventCount is the total number of events passed to the decider.
	EventCount int
}

// NewCore returns a core without endpoints or proxies.
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

// applyOptions sets the core's options and replaces its channel by an empty one.
func (c *Core) applyOptions(options Options) {
	c.options = options
	c.outbox.messageOverhead = options.MessageOverhead
	c.Channel = NewChannel(options.LinesPerS, options.Backlog, options.MaxMessages, options.MessageWindowMs,
		options.Metrics)
}

// Due returns the time in ms at which Handle must be called next even if there is no input.
func (c *Core) Due() float64 {
	if c.options.Relay != nil { // the relay aggregates reports, so there is no flush to wait for
		return c.timers.due()
	}
	return min(c.timers.due(), c.reports.due())
}

// Handle runs one turn: it processes the inputs, calls the decider if there are events, executes its commands and
// queues the resulting messages. Time does not go backwards: if nowMs is earlier than the previous turn, the time of
// the previous turn is used.
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
	commands, called := c.decide(events)
	if c.options.OnTurn != nil && (called || len(inputs) > 0) {
		c.options.OnTurn(c.nowMs, inputs, events[telemetryStart:], commands)
	}
	for _, command := range commands {
		c.execute(command)
	}
	c.outbox.flush(c.nowMs, c.Channel)
	c.relayed.flush(c.options.Relay, &c.endpoints)
}

// decide calls the decider if there are events, and returns its commands and whether it was called. The first turn
// always calls the decider; after that it relies on timers to be called without other events.
func (c *Core) decide(events []planner.Event) (commands []planner.Command, called bool) {
	if len(events) == 0 && c.started {
		return nil, false
	}
	c.started = true
	c.EventCount += len(events)
	commands = c.options.Metrics.timeDecider(func() []planner.Command {
		return c.options.Decider.Handle(c.nowMs, events)
	})
	return commands, true
}

// Now returns the time of the last turn in ms.
func (c *Core) Now() float64 { return c.nowMs }

// EndpointName returns the name of the endpoint with the given index, or "" if there is none.
func (c *Core) EndpointName(i int) string { return c.endpoints.name(i) }
