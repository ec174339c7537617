package relay

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestRecordAck checks that an ack counts once, number 0 included, while it is among the last ones.
func TestRecordAck(t *testing.T) {
	m := &connectedProxy{}
	for number := range rememberedAcks {
		assert.True(t, m.recordAck(number))
		assert.False(t, m.recordAck(number))
	}
	assert.True(t, m.recordAck(rememberedAcks))
	assert.True(t, m.recordAck(0), "forgotten meanwhile")
	assert.False(t, m.recordAck(rememberedAcks))
}
