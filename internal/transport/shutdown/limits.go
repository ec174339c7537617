package shutdown

import "time"

// Constants that all transports use to end streams.
const (
	// ReasonStopping is the reason sent to proxies when the pilot shuts down.
	ReasonStopping = "this pilot stops"
	// MaxMissedHeartbeats is the number of heartbeat intervals without a message after which a stream is considered
	// dead.
	MaxMissedHeartbeats = 3
	// LeaveTimeout is the longest time that an ended stream waits until the control loop accepts its ProxyLeft input.
	// The loop may have stopped already when a pilot shuts down.
	LeaveTimeout = time.Second
)
