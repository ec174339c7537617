package proxy

import (
	"context"
	"time"

	"indigousher/internal/wire"
)

// Stream is a proxy's stream to a pilot, over whichever transport. One goroutine may read while another writes.
type Stream interface {
	// Write sends a message. Where the transport lets it, it fails if that takes longer than the timeout.
	Write(m wire.Message, timeout time.Duration) error
	// Read returns the next message, or an error if none comes within the timeout.
	Read(timeout time.Duration) (wire.Message, error)
	// Last returns the number of the last message read.
	Last() uint32
	// Close ends the stream, also for those who read or write; it may be called more than once.
	Close()
}

// Joiner dials a pilot, says hello and returns the stream once the pilot has welcomed the proxy.
type Joiner func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error)

// helloTimeout is how long a pilot may take to answer a hello.
const helloTimeout = 2 * time.Second
