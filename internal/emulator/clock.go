package emulator

// Clock is a heap of what is to come, by time, then in the order in which it was asked for. Its zero value stands at 0.
type Clock struct {
	now    float64 // ms
	set    uint64
	heap   []timer
	Events uint64 // done so far
}

type timer struct {
	at     float64
	number uint64
	run    func()
}

// Now returns the time.
func (c *Clock) Now() float64 { return c.now }

// After has something done later; never before what was asked for earlier for the same moment.
func (c *Clock) After(ms float64, do func()) { c.At(c.now+ms, do) }

// At has something done at a time; one that has passed counts as now.
func (c *Clock) At(at float64, do func()) {
	c.set++
	c.heap = append(c.heap, timer{max(at, c.now), c.set, do})
	i := len(c.heap) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !c.heap[i].before(&c.heap[up]) {
			break
		}
		c.heap[i], c.heap[up] = c.heap[up], c.heap[i]
		i = up
	}
}

func (d *timer) before(o *timer) bool { return d.at < o.at || d.at == o.at && d.number < o.number }

// Until lets time pass.
func (c *Clock) Until(at float64) {
	for len(c.heap) > 0 && c.heap[0].at <= at {
		d := c.pop()
		c.now = d.at
		c.Events++
		d.run()
	}
	c.now = max(c.now, at)
}

func (c *Clock) pop() timer {
	first, last := c.heap[0], len(c.heap)-1
	c.heap[0] = c.heap[last]
	c.heap[last] = timer{}
	c.heap = c.heap[:last]
	for i := 0; ; {
		least := i
		for k := 4*i + 1; k <= 4*i+4 && k < last; k++ {
			if c.heap[k].before(&c.heap[least]) {
				least = k
			}
		}
		if least == i {
			return first
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}
