package shutdown

import "time"

// What all transports have in common at the end of a stream.
const (
	// ReasonStopping is sent to proxies when the controller shuts down.
	ReasonStopping = "this pilot stops"
	// SilentBeats is the number of missed heartbeats after which a stream is considered dead.
	SilentBeats = 3
	// LeaveTimeout bounds the wait for the controller's loop to accept that a proxy has left while the transport shuts
	// down.
	LeaveTimeout = time.Second
)
