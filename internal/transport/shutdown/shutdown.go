// Package shutdown coordinates the end of a stream: it ends once, with a reason for the operators and optionally a last
// message for the peer. All transports use it.
package shutdown

import "sync"

// Notice is the termination state of one stream. W is the type of its last message. It is safe for concurrent use.
type Notice[W any] struct {
	done chan struct{}
	once sync.Once

	mu      sync.Mutex
	reason  string
	message *W // nil: none
}

// New returns the state of an open stream.
func New[W any]() *Notice[W] { return &Notice[W]{done: make(chan struct{})} }

// Close ends the stream without a last message. It has no effect if the stream has ended.
func (n *Notice[W]) Close(reason string) {
	n.once.Do(func() {
		n.mu.Lock()
		n.reason = reason
		n.mu.Unlock()
		close(n.done)
	})
}

// CloseWith ends the stream with a last message. Only the first message counts.
func (n *Notice[W]) CloseWith(reason string, message W) {
	n.mu.Lock()
	if n.message == nil {
		n.message = &message
	}
	n.mu.Unlock()
	n.Close(reason)
}

// Done returns a channel that is closed when the stream ends.
func (n *Notice[W]) Done() <-chan struct{} { return n.done }

// Reason returns the reason, which is empty while the stream is open.
func (n *Notice[W]) Reason() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reason
}

// LastMessage returns the last message, if there is one.
func (n *Notice[W]) LastMessage() (message W, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.message == nil {
		return message, false
	}
	return *n.message, true
}
