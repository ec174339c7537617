package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPendingAcks guards that each ack request is answered once, and that what a silent proxy owes is bounded.
func TestPendingAcks(t *testing.T) {
	var p pendingAcks
	p.add(1)
	p.add(2)
	assert.False(t, p.acknowledge(3), "never sent")
	assert.True(t, p.acknowledge(1))
	assert.False(t, p.acknowledge(1), "acknowledged before")
	for number := range maxPendingAcks {
		p.add(10 + number)
	}
	assert.Len(t, p, maxPendingAcks)
	assert.False(t, p.acknowledge(2), "forgotten as the oldest")
	assert.True(t, p.acknowledge(10))
}
