package relay

import (
	"slices"
	"time"
)

// member is what is known of a proxy that stands.
type member struct {
	zone  string
	since time.Time           // when it was told
	acked [rememberedAcks]int // answered lately, plus 1
	next  int
}

// firstAck returns whether an answer to a mark has not been told before.
func (m *member) firstAck(mark int) bool {
	if slices.Contains(m.acked[:], mark+1) {
		return false
	}
	m.acked[m.next%rememberedAcks] = mark + 1
	m.next++
	return true
}
