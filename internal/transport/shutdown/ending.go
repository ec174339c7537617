// Package shutdown is how an edge's stream ends, whatever its transport: once, with a reason for operators and a last word
// for the peer. The edges' streams are built on it.
package shutdown

import "sync"

// Ending is one stream's. W is what a last word is.
type Ending[W any] struct {
	gone chan struct{}
	once sync.Once
	mu   sync.Mutex
	why  string
	word *W
}

// New returns one of a stream that lives.
func New[W any]() *Ending[W] { return &Ending[W]{gone: make(chan struct{})} }

// End ends the stream without a word, if it has not ended.
func (e *Ending[W]) End(why string) {
	e.once.Do(func() {
		e.mu.Lock()
		e.why = why
		e.mu.Unlock()
		close(e.gone)
	})
}

// Say ends the stream with a last word; the first one counts.
func (e *Ending[W]) Say(why string, word W) {
	e.mu.Lock()
	if e.word == nil {
		e.word = &word
	}
	e.mu.Unlock()
	e.End(why)
}

// Gone is closed once the stream ends.
func (e *Ending[W]) Gone() <-chan struct{} { return e.gone }

// Why returns the reason.
func (e *Ending[W]) Why() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.why
}

// Word returns the last word, if there is one.
func (e *Ending[W]) Word() (word W, has bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.word == nil {
		return word, false
	}
	return *e.word, true
}
