package controller

import (
	"indigousher/planner"
	"indigousher/telemetry"
)

// Options holds the configuration and the dependencies of a Core.
type Options struct {
	// Decider makes the routing decisions. Settings is the map that the decider was created with; the core writes
	// changed settings into it.
	Decider  Decider
	Settings map[string]any

	// Zones, Machines and Classes are the names of zones, machine types and request classes. The decider refers to them
	// by their index.
	Zones, Machines, Classes []string

	// Limits of the channel. LinesPerS is its rate limit in lines per second, and Backlog the maximum number of waiting
	// lines. MessageOverhead is the overhead of a message, in lines. MaxMessages is the maximum number of messages to
	// one proxy within MessageWindowMs milliseconds. For LinesPerS, Backlog and MaxMessages, 0 means no limit.
	LinesPerS, Backlog float64
	MessageOverhead    int
	MaxMessages        int
	MessageWindowMs    float64

	// Telemetry holds the options of the report aggregator.
	Telemetry telemetry.Options

	// MaxProxies is the maximum number of distinct proxies that may join while the process runs; further ones are
	// rejected.
	MaxProxies int

	// The transports. Relay is nil if proxies connect directly to this pilot.
	EndpointSource EndpointSource
	HealthChecker  HealthChecker
	Gossip         GossipSender
	Relay          Relay

	// Log writes the decider's log messages. Malformed logs a malformed input or command: what is the reason, and
	// fields identify the item.
	Log       func(text string)
	Malformed func(what string, fields ...string)

	// Metrics holds the runtime's metrics; nil disables them.
	Metrics *Metrics

	// OnTurn, if not nil, is called in each turn that has inputs or calls the decider, before the commands are
	// executed. Its arguments are the inputs, the events from the report aggregator, and the decider's commands. The
	// inputs slice is reused after OnTurn returns.
	OnTurn func(nowMs float64, inputs []Input, telemetry []planner.Event, commands []planner.Command)

	// Replayed is true in a replay: telemetry comes from TelemetryBatch inputs instead of the core's report aggregator.
	Replayed bool
}
