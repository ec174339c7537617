package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPendingAcks checks that an ack request can be acknowledged only once, and that the number of pending requests of
// a proxy that never answers is bounded.
func TestPendingAcks(t *testing.T) {
	var p pendingAcks
	p.add(1)
	p.add(2)
	assert.False(t, p.acknowledge(3), "never sent")
	assert.True(t, p.acknowledge(1))
	assert.False(t, p.acknowledge(1), "already acknowledged")
	for number := range maxPendingAcks {
		p.add(10 + number)
	}
	assert.Len(t, p, maxPendingAcks)
	assert.False(t, p.acknowledge(2), "dropped as the oldest")
	assert.True(t, p.acknowledge(10))
}
