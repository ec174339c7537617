package pilot

import "slices"

// mostMarks bounds the marks that a proxy may owe an answer to; what it owes beyond them is forgotten, oldest first.
const mostMarks = 1024

// answers returns whether a mark was sent to a proxy and not answered yet. Were any number taken, a proxy that makes
// them up would have the module believe that its channel is empty.
func (s *session) answers(mark int) bool {
	i := slices.Index(s.marks, mark)
	if i < 0 {
		return false
	}
	s.marks = slices.Delete(s.marks, i, i+1)
	return true
}
