// Package shutdown coordinates how the goroutines of a stream end it: once, with a reason for the log and optionally a
// last message to the peer. The transports use it.
package shutdown

import "sync"

// Signal records whether, why and with which last message a stream has ended. W is the type of the last message. It is
// safe for concurrent use.
type Signal[W any] struct {
	done chan struct{} // closed when the stream ends
	once sync.Once

	mu      sync.Mutex
	reason  string // "" while the stream is open
	message *W     // last message; nil: none
}

// New returns the Signal of an open stream.
func New[W any]() *Signal[W] { return &Signal[W]{done: make(chan struct{})} }

// Close ends the stream with a reason and without a last message. It has no effect if the stream has ended.
func (n *Signal[W]) Close(reason string) {
	n.once.Do(func() {
		n.mu.Lock()
		n.reason = reason
		n.mu.Unlock()
		close(n.done)
	})
}

// CloseWith ends the stream with a reason and a last message. Only the first reason and the first message are recorded.
func (n *Signal[W]) CloseWith(reason string, message W) {
	n.mu.Lock()
	if n.message == nil {
		n.message = &message
	}
	n.mu.Unlock()
	n.Close(reason)
}

// Done returns a channel that is closed when the stream ends.
func (n *Signal[W]) Done() <-chan struct{} { return n.done }

// Reason returns the reason for the end of the stream. It is "" while the stream is open.
func (n *Signal[W]) Reason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reason
}

// LastMessage returns the last message to send to the peer. ok is false if there is none.
func (n *Signal[W]) LastMessage() (message W, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.message == nil {
		return message, false
	}
	return *n.message, true
}
