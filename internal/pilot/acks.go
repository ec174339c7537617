package pilot

import "slices"

// mostMarks bounds the marks that a proxy may owe an answer to; what it owes beyond them is forgotten, oldest first.
const maxUnacknowledged = 1024

// answers returns whether a mark was sent to a proxy and not answered yet. Were any number taken, a proxy that makes
// them up would have the module believe that its channel is empty.
func (s *session) acknowledge(mark int) bool {
	i := slices.Index(s.unacknowledged, mark)
	if i < 0 {
		return false
	}
	s.unacknowledged = slices.Delete(s.unacknowledged, i, i+1)
	return true
}
