package emulator

// pending is something that ends by itself or at its deadline.
type pending interface {
	isOver() bool
	expire()
}

// deadlines keeps deadlines that come in order, as those of one kind of wait do, with one event for the first that still
// counts: most end before, and would only fill the clock's heap.
type deadlines struct {
	w     *World
	list  []deadline
	first int
	armed bool
}

type deadline struct {
	at float64
	p  pending
}

func (d *deadlines) add(at float64, p pending) {
	if d.first < len(d.list) && at < d.list[len(d.list)-1].at {
		d.w.At(at, func() {
			if !p.isOver() {
				p.expire()
			}
		})
		return
	}
	d.list = append(d.list, deadline{at, p})
	d.arm()
}

func (d *deadlines) arm() {
	if !d.armed && d.first < len(d.list) {
		d.armed = true
		d.w.At(d.list[d.first].at, d.fire)
	}
}

// fire ends what is due and forgets what has ended.
func (d *deadlines) fire() {
	d.armed = false
	for d.first < len(d.list) {
		x := d.list[d.first]
		if over := x.p.isOver(); !over && x.at > d.w.now {
			break
		} else if !over {
			x.p.expire()
		}
		d.list[d.first] = deadline{}
		d.first++
	}
	if d.first > 1024 && d.first > len(d.list)/2 {
		d.list = append(d.list[:0:0], d.list[d.first:]...)
		d.first = 0
	}
	d.arm()
}
