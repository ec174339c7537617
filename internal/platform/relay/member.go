package relay

import (
	"slices"
	"time"
)

// rememberedAcks is how many acks of a proxy are remembered to recognise the duplicates of the other subscription.
const rememberedAcks = 8

// connectedProxy is a connected proxy. EventStream.mu guards it.
type connectedProxy struct {
	zone        string
	announcedAt time.Time // when its joining was announced

	// The last acknowledged numbers plus 1 (0 is a free slot), and how many were recorded in all.
	acked   [rememberedAcks]int
	nextAck int
}

// recordAck records an ack and reports whether it is new.
func (p *connectedProxy) recordAck(number int) bool {
	if slices.Contains(p.acked[:], number+1) {
		return false
	}
	p.acked[p.nextAck%rememberedAcks] = number + 1
	p.nextAck++
	return true
}
