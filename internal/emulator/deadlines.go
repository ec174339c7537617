package emulator

// expirable is something that ends by itself or at its deadline.
type expirable interface {
	isOver() bool
	expire()
}

// deadlineQueue keeps deadlines that come in order, as those of one kind of wait do, with one event for the first that still
// counts: most end before, and would only fill the clock's heap.
type deadlineQueue struct {
	w       *World
	entries []deadline
	first   int
	armed   bool
}

type deadline struct {
	at   float64
	wait expirable
}

func (d *deadlineQueue) add(at float64, p expirable) {
	if d.first < len(d.entries) && at < d.entries[len(d.entries)-1].at {
		d.w.At(at, func() {
			if !p.isOver() {
				p.expire()
			}
		})
		return
	}
	d.entries = append(d.entries, deadline{at, p})
	d.arm()
}

func (d *deadlineQueue) arm() {
	if !d.armed && d.first < len(d.entries) {
		d.armed = true
		d.w.At(d.entries[d.first].at, d.fire)
	}
}

// fire ends what is due and forgets what has ended.
func (d *deadlineQueue) fire() {
	d.armed = false
	for d.first < len(d.entries) {
		x := d.entries[d.first]
		if over := x.wait.isOver(); !over && x.at > d.w.now {
			break
		} else if !over {
			x.wait.expire()
		}
		d.entries[d.first] = deadline{}
		d.first++
	}
	if d.first > 1024 && d.first > len(d.entries)/2 {
		d.entries = append(d.entries[:0:0], d.entries[d.first:]...)
		d.first = 0
	}
	d.arm()
}
