package brain

// This file holds the actors' mailboxes and the closed sets of messages that each actor takes. The planner, the
// publisher, each endpoint and each region are actors: a message waits in the receiver's mailbox until it is
// delivered, so that the order of all work, and with it of the commands, follows from the events alone.

type roundStart struct{ timed bool }

func (b *Brain) deliverAll() {
	for busy := true; busy; {
		busy = false
		for i := 0; i < len(b.actors); i++ { // they may grow meanwhile
			notes := b.actors[i].waiting
			b.actors[i].waiting = nil
			for _, n := range notes {
				b.actors[i].take(n)
				busy = true
			}
		}
	}
}

// mailbox keeps an actor's notes until the loop empties it.
type mailbox struct {
	waiting []any
	take    func(note any)
}

func (i *mailbox) enqueue(note any) { i.waiting = append(i.waiting, note) }
