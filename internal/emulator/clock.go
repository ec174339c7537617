package emulator

// Clock is a clock of virtual time with timers. Timers fire by time, those of one moment in the order in which they
// were set. Its zero value stands at 0.
type Clock struct {
	now       float64 // ms
	timersSet uint64  // timers set so far
	heap      []timer // the root is the next to fire
	Events    uint64  // timers that have fired
}

// heapWidth is the number of children of a node in the heap. Four are faster than two: a level less to walk, and the
// children lie together in memory.
const heapArity = 4

// timer is something that happens at a time.
type timer struct {
	at       float64 // ms
	sequence uint64  // in the order of setting
	run      func()
}

func (t *timer) before(other *timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.sequence < other.sequence
}

// Now returns the time in ms.
func (c *Clock) Now() float64 { return c.now }

// After runs something after a delay in ms.
func (c *Clock) After(delayMs float64, run func()) { c.At(c.now+delayMs, run) }

// At runs something at a time in ms; one that has passed counts as now.
func (c *Clock) At(at float64, run func()) {
	c.timersSet++
	c.heap = append(c.heap, timer{at: max(at, c.now), sequence: c.timersSet, run: run})
	c.siftUp(len(c.heap) - 1)
}

// Until lets time pass up to a moment in ms and runs what is due.
func (c *Clock) Until(at float64) {
	for len(c.heap) > 0 && c.heap[0].at <= at {
		next := c.pop()
		c.now = next.at
		c.Events++
		next.run()
	}
	c.now = max(c.now, at)
}

// pop removes the next timer from the heap.
func (c *Clock) pop() timer {
	first := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = timer{} // lets go of its function
	c.heap = c.heap[:last]
	c.siftDown(0)
	return first
}

func (c *Clock) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / heapArity
		if !c.heap[i].before(&c.heap[parent]) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

func (c *Clock) siftDown(i int) {
	for {
		least := i
		firstChild := heapArity*i + 1
		for child := firstChild; child < firstChild+heapArity && child < len(c.heap); child++ {
			if c.heap[child].before(&c.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		c.heap[i], c.heap[least] = c.heap[least], c.heap[i]
		i = least
	}
}
