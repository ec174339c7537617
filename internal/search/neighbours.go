package search

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minFaultMs is the least length of a fault that a mutation leaves, in ms.
	minMutatedFaultMs = 100
	// minHalvedFault is how long a fault must last for its length to be halved.
	minHalvedFault = 400 * time.Millisecond
	// afterLastFault is how much of a shortened scenario follows its last fault; one is shortened only if more than
	// minAfterLastFault does.
	keptAfterLastFault = 6 * time.Second
	minAfterLastFault  = 8 * time.Second
)

// mutations is how many kinds of change mutate draws from.
const mutationKinds = 7

// mutate returns a copy of a draft with one thing changed.
func mutate(random *rand.Rand, d *Draft) *Draft {
	c := d.clone()
	var i int
	if len(c.Faults) > 0 {
		i = random.IntN(len(c.Faults))
	}
	switch kind := random.IntN(mutationKinds); {
	case kind == 0 || len(c.Faults) == 0:
		g := &generator{random: random, draft: c}
		c.Faults = append(c.Faults, g.drawFaults()...)
	case kind == 1 && len(c.Faults) > 1:
		c.Faults = slices.Delete(c.Faults, i, i+1)
	case kind == 2:
		moved := c.Faults[i].At + milliseconds(2000*random.NormFloat64())
		c.Faults[i].At = min(max(0, moved), c.Length-time.Second)
	case kind == 3:
		scaled := time.Duration(float64(c.Faults[i].For) * (0.5 + random.Float64()))
		c.Faults[i].For = max(milliseconds(minMutatedFaultMs), scaled)
	case kind == 4:
		c.Faults[i].Part = min(1, c.Faults[i].Part*(0.6+random.Float64()))
	case kind == 5:
		c.Load = min(0.9, max(0.1, c.Load+0.08*random.NormFloat64()))
	default:
		c.ListLate = milliseconds(2000 * random.Float64())
	}
	c.sortFaults()
	return c
}

// smaller lists copies of a draft with one thing less, the greatest steps first: a fault, half of the fleet, a pilot,
// the time after the last fault, half of a fault's length.
func reductions(d *Draft) []*Draft {
	var list []*Draft
	add := func(change func(c *Draft)) {
		c := d.clone()
		change(c)
		list = append(list, c)
	}
	for i := range d.Faults {
		add(func(c *Draft) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if d.Endpoints > 2 {
		add(halveFleet)
	}
	if d.Pilots > 1 {
		add(func(c *Draft) { c.Pilots-- })
	}
	if lastEnd := d.lastFaultEnd(); lastEnd+minAfterLastFault < d.Length {
		add(func(c *Draft) { c.Length = (lastEnd + keptAfterLastFault).Round(time.Second) })
	}
	for i, fault := range d.Faults {
		if fault.For > minHalvedFault {
			add(func(c *Draft) { c.Faults[i].For = fault.For / 2 })
		}
	}
	return list
}

func halveFleet(c *Draft) {
	c.Endpoints /= 2
	c.Proxies = max(1, c.Proxies/2)
	c.LinesPerS = max(minLinesPerS, c.LinesPerS/2)
}

// lastFaultEnd returns when the last fault ends; 0 if there is none.
func (d *Draft) lastFaultEnd() time.Duration {
	var last time.Duration
	for _, fault := range d.Faults {
		last = max(last, fault.At+fault.For)
	}
	return last
}
