package emulator

// Clock is a virtual clock with timers. Timers fire in order of time; timers with the same time fire in the order in
// which they were set. The zero value is a clock at 0 ms without timers.
type Clock struct {
	now       float64 // ms since the start of the run
	timersSet uint64  // number of timers set so far
	heap      []timer // min-heap; the root is the next timer to fire
	Events    uint64  // number of timers that have fired
}

// heapArity is the number of children of a heap node. Four children are faster than two: the heap has fewer levels,
// and the children of a node are adjacent in memory.
const heapArity = 4

// timer is a function that is scheduled for a point in virtual time.
type timer struct {
	at       float64 // ms
	sequence uint64  // orders timers with the same time
	run      func()
}

// before reports whether the timer fires before another one.
func (t *timer) before(other *timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.sequence < other.sequence
}

// Now returns the virtual time in ms.
func (c *Clock) Now() float64 { return c.now }

// After schedules a function to run after a delay in ms.
func (c *Clock) After(delayMs float64, run func()) { c.At(c.now+delayMs, run) }

// At schedules a function to run at a time in ms. A time in the past is replaced by the current time.
func (c *Clock) At(at float64, run func()) {
	c.timersSet++
	c.heap = append(c.heap, timer{at: max(at, c.now), sequence: c.timersSet, run: run})
	c.siftUp(len(c.heap) - 1)
}

// AdvanceTo advances the clock to a time in ms and runs all timers that are due by then.
func (c *Clock) AdvanceTo(at float64) {
	for len(c.heap) > 0 && c.heap[0].at <= at {
		next := c.pop()
		c.now = next.at
		c.Events++
		next.run()
	}
	c.now = max(c.now, at)
}

// pop removes the next timer to fire from the heap and returns it.
func (c *Clock) pop() timer {
	first := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = timer{} // releases the function for garbage collection
	c.heap = c.heap[:last]
	c.siftDown(0)
	return first
}

// siftUp restores the heap order after the timer at index i was added.
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

// siftDown restores the heap order after the timer at index i was replaced by a later one.
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
