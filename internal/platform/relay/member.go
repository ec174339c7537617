package relay

import (
	"slices"
	"time"
)

// rememberedAcks is how many acks of each proxy are remembered, by which the second telling of one is known.
const rememberedAcks = 8

// member is what is known of a proxy that stands. EventStream.mu guards it.
type member struct {
	zone  string
	since time.Time // when it was told to have joined

	// The numbers last acknowledged, each plus 1, as 0 marks a free place; nextAck counts all of them.
	acked   [rememberedAcks]int
	nextAck int
}

// recordAck notes an ack and returns whether it was not told before.
func (m *member) recordAck(number int) bool {
	if slices.Contains(m.acked[:], number+1) {
		return false
	}
	m.acked[m.nextAck%rememberedAcks] = number + 1
	m.nextAck++
	return true
}
