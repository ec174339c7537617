package relay

import (
	"slices"
	"time"
)

// rememberedAcks is the number of recent acks that are remembered for each proxy, to recognize the duplicates that the
// other subscription delivers.
const rememberedAcks = 8

// connectedProxy is the state of a proxy that is connected to the relay. EventStream.mu guards it.
type connectedProxy struct {
	zone        string
	announcedAt time.Time // when its "joined" event was received

	acked   [rememberedAcks]int // ring buffer of ack request numbers plus 1; 0 is an unused element
	nextAck int                 // number of acks recorded so far; modulo rememberedAcks, the next index in acked
}

// recordAck records the ack of a request number. It returns false if the ack is among the remembered ones.
func (p *connectedProxy) recordAck(number int) bool {
	if slices.Contains(p.acked[:], number+1) {
		return false
	}
	p.acked[p.nextAck%rememberedAcks] = number + 1
	p.nextAck++
	return true
}
