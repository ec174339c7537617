package emulator

// expirable is something that ends by itself or at its deadline.
type expirable interface {
	isOver() bool
	expire()
}

// deadlineQueue holds the deadlines of one kind of wait. They come almost in order of time, and most waits end before
// them; one timer for the first that still counts keeps the clock's heap small.
type deadlineQueue struct {
	w       *World
	entries []deadline // by time; those before first have passed
	first   int
	armed   bool // a timer is set for the first entry
}

type deadline struct {
	at   float64 // ms
	wait expirable
}

// compactAfter is how many passed entries may pile up at least before they are dropped.
const compactAfter = 1024

// add sets a deadline in ms. One that comes out of order gets a timer of its own.
func (q *deadlineQueue) add(at float64, wait expirable) {
	pending := len(q.entries) - q.first
	if pending > 0 && at < q.entries[len(q.entries)-1].at {
		q.w.At(at, func() { expireUnlessOver(wait) })
		return
	}
	q.entries = append(q.entries, deadline{at: at, wait: wait})
	q.arm()
}

func expireUnlessOver(wait expirable) {
	if !wait.isOver() {
		wait.expire()
	}
}

// arm sets the timer for the first entry, unless one is set.
func (q *deadlineQueue) arm() {
	if !q.armed && q.first < len(q.entries) {
		q.armed = true
		q.w.At(q.entries[q.first].at, q.fire)
	}
}

// fire ends the waits that are due and skips those that have ended.
func (q *deadlineQueue) fire() {
	q.armed = false
	for q.first < len(q.entries) {
		next := q.entries[q.first]
		if !next.wait.isOver() {
			if next.at > q.w.now {
				break
			}
			next.wait.expire()
		}
		q.entries[q.first] = deadline{} // lets go of the wait
		q.first++
	}
	q.compact()
	q.arm()
}

// compact drops passed entries once they are many and the greater part.
func (q *deadlineQueue) compact() {
	if q.first > compactAfter && q.first > len(q.entries)/2 {
		q.entries = append(q.entries[:0:0], q.entries[q.first:]...)
		q.first = 0
	}
}
