package identity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReplayFilter checks messages that are repeated at once or after many others, and ones that are too old.
func TestReplayFilter(t *testing.T) {
	const now = uint64(1e18)
	filter := &ReplayFilter{}
	assert.True(t, filter.Accept(now))
	assert.False(t, filter.Accept(now), "at once")
	assert.True(t, filter.Accept(now-maxNumberAge+1), "overtaken on its way")
	assert.False(t, filter.Accept(now-maxNumberAge-1), "too old, though it was never seen")
	assert.False(t, filter.Accept(0))
	for i := range uint64(3 * replayWindow) {
		assert.True(t, filter.Accept(now+1+i))
	}
	for i := range uint64(3 * replayWindow) {
		assert.False(t, filter.Accept(now+1+i))
	}
	assert.Len(t, filter.accepted, replayWindow)
	assert.True(t, filter.Accept(now+1e6))
}
