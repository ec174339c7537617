package controller

import (
	"indigousher/planner"
	"indigousher/telemetry"
)

// Options names all that a Core is made from.
type Options struct {
	// Decider decides, by the settings in Terms: the map that it was made with. Settings that change are put into it.
	Decider  Decider
	Settings map[string]any

	// Names by index, as the decider knows zones, machine types and request kinds.
	Zones, Machines, Classes []string

	// Limits of the channel. LinesPerS paces it, 0 not at all; Backlog is how many lines may wait, 0 for no limit;
	// HeadLines is what each message counts beside its own lines; MessagesMost is how many messages a proxy may be sent
	// within MessagesOverMs, 0 for no limit.
	LinesPerS, Backlog float64
	HeadLines          int
	MaxMessages        int
	MessagesOverMs     float64

	// Intake limits what is taken in of reports.
	Telemetry telemetry.Options

	// MostProxies is how many distinct proxies may join in a life; more are rejected.
	MaxProxies int

	// The transports. Relay is set where others hold the streams of proxies, nil where they are ours.
	EndpointSource EndpointSource
	HealthChecker  HealthChecker
	Gossip         GossipSender
	Relay          Relay

	// Log takes the decider's own log lines; Odd takes what a transport brought that can't be used, with fields that
	// name it.
	Log       func(text string)
	Malformed func(what string, fields ...string)

	// Meter counts; it may be nil.
	Metrics *Metrics

	// Turn, if not nil, hears of each turn: its inputs, the telemetry that the intake passed on, and the decider's
	// commands. The inputs' slice is used again after it returns.
	OnTurn func(nowMs float64, inputs []Input, telemetry []planner.Event, commands []planner.Command)

	// Replayed means that what the intake passed on comes as Told inputs; the core's own intake is not asked.
	Replayed bool
}
