package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRecordAck checks that a repeated ack is recognized, also for number 0, as long as it is among the remembered
// ones.
func TestRecordAck(t *testing.T) {
	m := &connectedProxy{}
	for number := range rememberedAcks {
		assert.True(t, m.recordAck(number))
		assert.False(t, m.recordAck(number))
	}
	assert.True(t, m.recordAck(rememberedAcks))
	assert.True(t, m.recordAck(0), "number 0 is no longer remembered")
	assert.False(t, m.recordAck(rememberedAcks))
}
