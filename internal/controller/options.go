package controller

import (
	"indigousher/planner"
	"indigousher/telemetry"
)

// Options names all that a Core is made from.
type Options struct {
	// Decider decides, by Settings: the map that it was made with. Settings that change are put into it.
	Decider  Decider
	Settings map[string]any

	// Names by index, as the decider knows zones, machine types and request classes.
	Zones, Machines, Classes []string

	// Limits of the channel. LinesPerS paces it, 0 not at all; Backlog is how many lines may wait, 0 for no limit;
	// HeadLines is what each message counts beside its own lines; MaxMessages is how many messages a proxy may be sent
	// within MessagesOverMs, 0 for no limit.
	LinesPerS, Backlog float64
	HeadLines          int
	MaxMessages        int
	MessagesOverMs     float64

	// Telemetry limits what is taken in of reports.
	Telemetry telemetry.Options

	// MaxProxies is how many distinct proxies may join in a life; more are rejected.
	MaxProxies int

	// The transports. Relay is set where others hold the streams of proxies, nil where they are ours.
	EndpointSource EndpointSource
	HealthChecker  HealthChecker
	Gossip         GossipSender
	Relay          Relay

	// Log takes the decider's own log lines; Malformed takes what a transport brought that can't be used, with fields
	// that name it.
	Log       func(text string)
	Malformed func(what string, fields ...string)

	// Metrics counts; it may be nil.
	Metrics *Metrics

	// OnTurn, if not nil, is called with each turn: its inputs, the telemetry that the aggregator passed on, and the
	// decider's commands. The inputs' slice is used again after it returns.
	OnTurn func(nowMs float64, inputs []Input, telemetry []planner.Event, commands []planner.Command)

	// Replayed means that telemetry comes as TelemetryBatch inputs; the core's own aggregator is not asked.
	Replayed bool
}
