package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Decider makes the routing decisions. planner.Planner is the production implementation. A Decider is called from one
// goroutine and must have no side effects; its only output is the list of returned commands.
type Decider interface {
	// Handle processes the events up to nowMs and returns the commands to execute.
	Handle(nowMs float64, events []planner.Event) []planner.Command
	// Reconfigure applies changed settings; the map holds all settings, including unchanged ones. State that was
	// derived from the settings at the start (zones, request classes, parts of a zone) is not updated.
	Reconfigure(settings map[string]any)
}

// Stream sends messages to one proxy. Its methods must not block or call the core, and may be called after the stream
// has ended. Streams are used as map keys, so implementations must be comparable, and different streams must not be
// equal.
type Stream interface {
	// Send queues a message, which the stream then owns. If it returns an error, the core closes the stream.
	Send(*wire.Commands) error
	// RequestPace sends the proxy new parameters for its load reports. If it returns an error, the core closes the stream.
	RequestPace(*wire.Pace) error
	// Close ends the stream and sends the reason to the proxy. The transport then posts ProxyLeft.
	Close(reason string)
}

// EndpointSource provides the endpoint list. Its methods do not block; results arrive as EndpointsListed or
// EndpointListLost inputs.
type EndpointSource interface {
	// Watch starts (on is true) or ends the subscription to changes of the list.
	Watch(on bool)
	// Fetch requests one snapshot of the list.
	Fetch()
}

// HealthChecker checks the health of an endpoint. Probe does not block; the result arrives as a HealthChecked input.
type HealthChecker interface{ Probe(endpoint string) }

// GossipSender sends short texts to other pilots. Tell sends a text to the pilot with index peer, or to all if peer is
// -1. It does not block, and the text may be lost.
type GossipSender interface{ Tell(peer int, text string) }

// Relay passes commands to proxies that are not connected to this pilot directly. It has its own queue and rate limit,
// so the core sends no messages and its channel stays empty.
type Relay interface {
	// Enqueue queues the commands of one turn. endpoint returns the name of the endpoint with index i. Enqueue must not
	// block, and must not retain its arguments.
	Enqueue(turn []planner.Command, endpoint func(i int) string)
	// ProxyLeft discards the commands that are queued for a proxy.
	ProxyLeft(proxy int)
}
