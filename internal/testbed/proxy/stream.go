package proxy

import (
	"context"
	"time"

	"indigousher/internal/wire"
)

// Stream is a proxy's stream to a pilot, independent of the transport. One goroutine may read while another writes.
type Stream interface {
	// Write sends a message. If the transport supports it, Write fails when sending takes longer than the timeout.
	Write(m wire.Message, timeout time.Duration) error
	// Read returns the next message, or an error if none comes within the timeout.
	Read(timeout time.Duration) (wire.Message, error)
	// Last returns the number of the last message read, or 0 before the first.
	Last() uint32
	// Close closes the stream and makes blocked reads and writes return. It may be called more than once.
	Close()
}

// Joiner dials a pilot, sends the hello message and returns the stream and the pilot's welcome.
type Joiner func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error)

// helloTimeout is the maximum time to wait for a pilot's answer to a hello message.
const helloTimeout = 2 * time.Second
