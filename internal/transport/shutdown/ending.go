// Package shutdown is how an edge's stream ends, whatever its transport: once, with a reason for operators and a last word
// for the peer. The edges' streams are built on it.
package shutdown

import "sync"

// Notice is one stream's. W is what a last word is.
type Notice[W any] struct {
	gone chan struct{}
	once sync.Once
	mu   sync.Mutex
	why  string
	word *W
}

// New returns one of a stream that lives.
func New[W any]() *Notice[W] { return &Notice[W]{gone: make(chan struct{})} }

// Close ends the stream without a word, if it has not ended.
func (e *Notice[W]) Close(why string) {
	e.once.Do(func() {
		e.mu.Lock()
		e.why = why
		e.mu.Unlock()
		close(e.gone)
	})
}

// CloseWith ends the stream with a last word; the first one counts.
func (e *Notice[W]) CloseWith(why string, word W) {
	e.mu.Lock()
	if e.word == nil {
		e.word = &word
	}
	e.mu.Unlock()
	e.Close(why)
}

// Done is closed once the stream ends.
func (e *Notice[W]) Done() <-chan struct{} { return e.gone }

// Reason returns the reason.
func (e *Notice[W]) Reason() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.why
}

// LastMessage returns the last word, if there is one.
func (e *Notice[W]) LastMessage() (word W, has bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.word == nil {
		return word, false
	}
	return *e.word, true
}
