package identity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOnce guards against notes that come again: at once, late, after many others, or from long ago though never seen.
func TestOnce(t *testing.T) {
	const now = uint64(1e18)
	o := &ReplayFilter{}
	assert.True(t, o.Accept(now))
	assert.False(t, o.Accept(now), "at once")
	assert.True(t, o.Accept(now-onceWithin+1), "overtaken on its way")
	assert.False(t, o.Accept(now-onceWithin-1), "too old, though it was never seen")
	assert.False(t, o.Accept(0))
	for i := range uint64(3 * onceKeeps) {
		assert.True(t, o.Accept(now+1+i))
	}
	for i := range uint64(3 * onceKeeps) {
		assert.False(t, o.Accept(now+1+i))
	}
	assert.Len(t, o.seen, onceKeeps)
	assert.True(t, o.Accept(now+1e6))
}
