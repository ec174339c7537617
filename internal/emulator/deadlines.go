package emulator

// expirable is a wait with a deadline, such as a client request or an attempt of a proxy. isOver reports whether it
// ended before the deadline; expire ends it at the deadline.
type expirable interface {
	isOver() bool
	expire()
}

// deadlineQueue holds the deadlines of one kind of wait. Deadlines are added almost in order of time, and most waits
// end before their deadline. One timer for the earliest pending deadline, instead of one timer for each, keeps the
// clock's heap small.
type deadlineQueue struct {
	w       *World
	entries []deadline // in order of time; entries before index first are done
	first   int        // index of the earliest pending entry
	armed   bool       // a timer is set for the earliest pending entry
}

// deadline is the time at which a wait expires.
type deadline struct {
	at   float64 // ms
	wait expirable
}

// compactAfter is the number of finished entries that a queue keeps before compact may drop them.
const compactAfter = 1024

// add adds a deadline in ms. A deadline that is earlier than the last entry gets its own timer, so that the queue
// stays sorted.
func (q *deadlineQueue) add(at float64, wait expirable) {
	pending := len(q.entries) - q.first
	if pending > 0 && at < q.entries[len(q.entries)-1].at {
		q.w.At(at, func() { expireUnlessOver(wait) })
		return
	}
	q.entries = append(q.entries, deadline{at: at, wait: wait})
	q.arm()
}

// expireUnlessOver expires a wait that has not ended yet.
func expireUnlessOver(wait expirable) {
	if !wait.isOver() {
		wait.expire()
	}
}

// arm sets the timer for the earliest pending entry, unless the timer is already set.
func (q *deadlineQueue) arm() {
	if !q.armed && q.first < len(q.entries) {
		q.armed = true
		q.w.At(q.entries[q.first].at, q.fire)
	}
}

// fire expires the waits that are due, drops the waits that have ended, and sets the timer for the next entry.
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
		q.entries[q.first] = deadline{} // releases the wait for garbage collection
		q.first++
	}
	q.compact()
	q.arm()
}

// compact drops the finished entries if there are more than compactAfter and they are the majority.
func (q *deadlineQueue) compact() {
	if q.first > compactAfter && q.first > len(q.entries)/2 {
		q.entries = append(q.entries[:0:0], q.entries[q.first:]...)
		q.first = 0
	}
}
