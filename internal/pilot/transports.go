package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// Decider is what decides; brain.Brain is the one that ships.
type Decider interface {
	// Handle takes in what happened by nowMs and returns what is to be done about it.
	Handle(nowMs float64, notes []brain.Note) []brain.Order
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

// ListSource is asked for the endpoint list; answers come as List or ListLost inputs.
type ListSource interface {
	Watch(on bool)
	Fetch()
}

// Prober examines an endpoint; the answer comes as a Probed input.
type Prober interface{ Probe(endpoint string) }

// Peers carries a short text to another pilot, or to all with peer -1. It may be lost.
type Peers interface{ Tell(peer int, text string) }

// Relay carries what one turn ordered to proxies whose streams others hold. It queues and paces by itself: the core
// lays no messages out and its channel stays empty. Carry must not block and keeps nothing of what it is given.
type Relay interface {
	Carry(turn []brain.Order, endpoint func(i int) string)
	// Gone says that what waits for a proxy is void.
	Gone(proxy int)
}
