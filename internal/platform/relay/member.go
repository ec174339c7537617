package relay

import (
	"slices"
	"time"
)

// member is what is known of a proxy that stands.
type member struct {
	zone  string
	since time.Time      // when it was told
	marks [mostMarks]int // answered lately, plus 1
	next  int
}

// answers returns whether an answer to a mark has not been told before.
func (m *member) answers(mark int) bool {
	if slices.Contains(m.marks[:], mark+1) {
		return false
	}
	m.marks[m.next%mostMarks] = mark + 1
	m.next++
	return true
}
