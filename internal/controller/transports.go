package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Decider is what decides; planner.Planner is the one that ships. It is called by one goroutine and has no effect but
// what it returns.
type Decider interface {
	// Handle takes in what happened by nowMs and returns what is to be done about it.
	Handle(nowMs float64, events []planner.Event) []planner.Command
	// Reconfigure takes over changed settings: all of them, changed and not. What was derived from the settings at the
	// start (zones, request classes, parts of a zone) stays as it is.
	Reconfigure(settings map[string]any)
}

// Stream carries messages to one proxy. None of its methods may block or call the core back; all may be called after
// the stream has ended. Streams are compared: two of them are equal only if they are the same.
type Stream interface {
	// Send takes over a message. An error ends the stream: the core closes it.
	Send(*wire.Commands) error
	// Ask asks the proxy to report otherwise. An error ends the stream, as with Send.
	Ask(*wire.Pace) error
	// Close ends the stream and tells the proxy why. The transport reports its end as ProxyLeft.
	Close(reason string)
}

// EndpointSource is asked for the endpoint list. Its methods don't block; answers come as EndpointsListed or
// EndpointListLost inputs.
type EndpointSource interface {
	// Watch subscribes to the list's changes, or ends the subscription.
	Watch(on bool)
	// Fetch asks for the whole list once.
	Fetch()
}

// HealthChecker checks the health of an endpoint. Probe doesn't block; the answer comes as a HealthChecked input.
type HealthChecker interface{ Probe(endpoint string) }

// GossipSender carries a short text to another pilot, or to all with peer -1. Tell doesn't block; the text may be
// lost.
type GossipSender interface{ Tell(peer int, text string) }

// Relay carries what one turn commands to proxies whose streams others hold. It queues and paces by itself: the core
// sends no messages and its channel stays empty.
type Relay interface {
	// Enqueue takes over a turn's commands; endpoint returns the name behind an index. It must not block and keeps
	// nothing of what it is given.
	Enqueue(turn []planner.Command, endpoint func(i int) string)
	// ProxyLeft says that what waits for a proxy is void.
	ProxyLeft(proxy int)
}
