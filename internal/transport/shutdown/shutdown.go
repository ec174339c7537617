// Package shutdown coordinates the end of a stream: it ends once, with a reason for the operators and optionally a last
// message for the peer. All transports use it.
package shutdown

import "sync"

// Notice is the termination state of one stream. W is the type of its last message. It is safe for concurrent use.
type Notice[W any] struct {
	gone chan struct{}
	once sync.Once

	mu   sync.Mutex
	why  string
	word *W // nil: none
}

// New returns the state of an open stream.
func New[W any]() *Notice[W] { return &Notice[W]{gone: make(chan struct{})} }

// Close ends the stream without a last message. It has no effect if the stream has ended.
func (e *Notice[W]) Close(why string) {
	e.once.Do(func() {
		e.mu.Lock()
		e.why = why
		e.mu.Unlock()
		close(e.gone)
	})
}

// CloseWith ends the stream with a last message. Only the first message counts.
func (e *Notice[W]) CloseWith(why string, word W) {
	e.mu.Lock()
	if e.word == nil {
		e.word = &word
	}
	e.mu.Unlock()
	e.Close(why)
}

// Done returns a channel that is closed when the stream ends.
func (e *Notice[W]) Done() <-chan struct{} { return e.gone }

// Reason returns the reason, which is empty while the stream is open.
func (e *Notice[W]) Reason() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.why
}

// LastMessage returns the last message, if there is one.
func (e *Notice[W]) LastMessage() (word W, has bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.word == nil {
		return word, false
	}
	return *e.word, true
}
