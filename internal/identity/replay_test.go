package identity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReplayFilter checks that repeated messages are rejected, immediately and after many others, and so are old ones.
func TestReplayFilter(t *testing.T) {
	const now = uint64(1e18)
	filter := &ReplayFilter{}
	assert.True(t, filter.Accept(now))
	assert.False(t, filter.Accept(now), "repeated immediately")
	assert.True(t, filter.Accept(now-maxNumberAge+1), "arrives after a newer message")
	assert.False(t, filter.Accept(now-maxNumberAge-1), "too old, although not a repetition")
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
