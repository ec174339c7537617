package brain

// mailbox keeps an actor's notes until the loop empties it.
type mailbox struct {
	waiting []any
	take    func(note any)
}

func (i *mailbox) enqueue(note any) { i.waiting = append(i.waiting, note) }

// pick returns one of two figures.
func pick(cond bool, yes, no float64) float64 {
	if cond {
		return yes
	}
	return no
}
