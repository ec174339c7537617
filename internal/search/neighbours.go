package search

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minMutatedFaultMs is the minimum duration of a fault after a mutation, in ms.
	minMutatedFaultMs = 100
	// minHalvedFault is the duration above which reductions tries to halve a fault.
	minHalvedFault = 400 * time.Millisecond
	// keptAfterLastFault is the time after the last fault in a shortened scenario. A scenario is shortened only if more
	// than minAfterLastFault follows its last fault.
	keptAfterLastFault = 6 * time.Second
	minAfterLastFault  = 8 * time.Second
)

// mutationKinds is the number of kinds of change among which mutate chooses.
const mutationKinds = 7

// mutate returns a copy of a draft with one random change: a fault is added, removed, moved or changed, or the load
// or the delay of the endpoint list is changed.
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
		scaled := time.Duration(float64(c.Faults[i].Duration) * (0.5 + random.Float64()))
		c.Faults[i].Duration = max(milliseconds(minMutatedFaultMs), scaled)
	case kind == 4:
		c.Faults[i].Fraction = min(1, c.Faults[i].Fraction*(0.6+random.Float64()))
	case kind == 5:
		c.Load = min(0.9, max(0.1, c.Load+0.08*random.NormFloat64()))
	default:
		c.ListDelay = milliseconds(2000 * random.Float64())
	}
	c.sortFaults()
	return c
}

// reductions returns copies of a draft, each with one simplification. In this order: one fault removed, the fleet
// halved, one pilot removed, the time after the last fault shortened, one fault halved in duration.
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
		if fault.Duration > minHalvedFault {
			add(func(c *Draft) { c.Faults[i].Duration = fault.Duration / 2 })
		}
	}
	return list
}

// halveFleet halves the endpoints, the proxies and the channel rate of a draft.
func halveFleet(c *Draft) {
	c.Endpoints /= 2
	c.Proxies = max(1, c.Proxies/2)
	c.LinesPerS = max(minLinesPerS, c.LinesPerS/2)
}

// lastFaultEnd returns the time at which the last fault ends, or 0 if there are no faults.
func (d *Draft) lastFaultEnd() time.Duration {
	var last time.Duration
	for _, fault := range d.Faults {
		last = max(last, fault.At+fault.Duration)
	}
	return last
}
