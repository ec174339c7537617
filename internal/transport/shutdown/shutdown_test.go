package shutdown

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEndsOnce checks that only the first reason and the first message are recorded if a stream is ended repeatedly.
func TestEndsOnce(t *testing.T) {
	e := New[string]()
	select {
	case <-e.Done():
		assert.Fail(t, "a new stream must be open")
	default:
	}
	e.CloseWith("slow", "redirect")
	e.CloseWith("stopped", "another message")
	e.Close("left")
	<-e.Done()
	assert.Equal(t, "slow", e.Reason())
	message, ok := e.LastMessage()
	assert.True(t, ok)
	assert.Equal(t, "redirect", message)
}

// TestEndsWithoutMessage checks that a stream can be ended concurrently without a last message, and that a later
// CloseWith does not change the reason.
func TestEndsWithoutMessage(t *testing.T) {
	e := New[string]()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { e.Close("left") })
	}
	wg.Wait()
	<-e.Done()
	assert.Equal(t, "left", e.Reason())
	_, ok := e.LastMessage()
	assert.False(t, ok)
	e.CloseWith("stopped", "redirect")
	assert.Equal(t, "left", e.Reason())
}
