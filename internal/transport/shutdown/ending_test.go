package shutdown

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEndsOnce guards the reason and the last message of a stream that several sides end.
func TestEndsOnce(t *testing.T) {
	e := New[string]()
	select {
	case <-e.Gone():
		assert.Fail(t, "ended from the start")
	default:
	}
	e.Say("slow", "redirect")
	e.Say("stopped", "another message")
	e.End("left")
	<-e.Gone()
	assert.Equal(t, "slow", e.Why())
	word, ok := e.Word()
	assert.True(t, ok)
	assert.Equal(t, "redirect", word)
}

// TestEndsWithoutMessage shows an end without a last message, and that a later message does not change the reason.
func TestEndsWithoutMessage(t *testing.T) {
	e := New[string]()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { e.End("left") })
	}
	wg.Wait()
	<-e.Gone()
	assert.Equal(t, "left", e.Why())
	_, ok := e.Word()
	assert.False(t, ok)
	e.Say("stopped", "redirect")
	assert.Equal(t, "left", e.Why())
}
