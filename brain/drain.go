package brain

// This file excludes endpoints that drain or are gone. Proxies that hold tables get the news as lines, which go
// before all others (publisher.go). For proxies that wait for their tables an endpoint is excluded as a whole, by a
// command that reaches all of them: halfway through the drain grace, as most have their tables by then, which costs
// less. Once it is ready again, an excluded endpoint is admitted again.
//
// The deadline of a drain is exclusionDeadline's.

import (
	"maps"
	"math"
	"slices"
)

func (c *publisher) isUnavailable(endpoint int) bool { _, out := c.unavailable[endpoint]; return out }

// excludeUnavailable tells proxies that wait for their tables, halfway through their grace, what is out: most have them by
// then. What doesn't fit, or still has a line, is said as soon as it can be, in few messages.
func (c *publisher) excludeUnavailable() {
	unbound, bound, last, head, waits := map[int]float64{}, map[int]float64{}, c.lastExclusionChange, c.headerLines(), []*proxyState{}
	for _, p := range c.proxies {
		bound[c.planner.subset(p.Joined)] += pick(p.assigned, 1, 0)
		if !p.confirmed {
			unbound[p.Zone], waits = unbound[p.Zone]+1, append(waits, p)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(c.excludedAt)) { // standing lines would fell a cold one
		if !c.isUnavailable(i) && (len(waits) == 0 || !c.planner.isWarmingUp(i)) {
			c.planner.command(Withdraw{i, false})
			c.lastExclusionChange = c.planner.now
			delete(c.excludedAt, i)
		}
	}
	half, answered, written := c.planner.settings.DrainGraceMs/2, len(c.linesSinceAck) > 0, c.window.written
	for _, i := range slices.Sorted(maps.Keys(c.unavailable)) {
		zone, cost, due := c.planner.endpoints[i].Zone, 0.0, len(waits) == 0 && c.excludedAt[i] == 0
		lines := func(p *proxyState) float64 { // what it costs at one that may hold it: of its zone, or spilt to it
			return pick(p.Zone == zone || unbound[zone] == 0, 1+pick(c.linesSinceAck[p.Proxy] == 0, head, 0), 0)
		}
		for _, p := range waits {
			from := math.Max(p.joinedAt, c.unavailable[i])
			cost += lines(p)
			due = due || lines(p) > 0 && from > c.excludedAt[i] && from < c.unavailable[i]+lineLifetimeMs && c.planner.now >= from+half
		}
		held := func(t *table) bool { return t.sent[i] > 0 && bound[t.number/len(c.planner.groups)] > 0 }
		if !due || slices.ContainsFunc(c.tables, held) {
			continue // its line goes first, at the same price
		}
		if cost > 0 && last+c.messageInterval() > c.planner.now {
			continue
		}
		if cost > 0 && c.window.inFlight()+cost >= c.planner.settings.BacklogLines {
			c.blocked.exclusions++
			continue
		}
		c.planner.command(Withdraw{i, true})
		c.window.add(cost)
		for _, p := range waits {
			c.linesSinceAck[p.Proxy] += lines(p)
		}
		c.lastExclusionChange, c.excludedAt[i] = c.planner.now, math.Max(c.planner.now, 1e-3)
	}
	if c.window.written > written && !answered {
		c.assignForAck()
	}
}

// assignForAck binds one proxy beside withdrawals that go out alone. They count at all who may hold the endpoint; if none does,
// nobody is sent the mark, and what was counted would stand until a probe.
func (c *publisher) assignForAck() {
	p := c.probeTarget()
	if p == nil {
		return
	}
	if _, cost := c.assignmentCost(p); c.window.inFlight()+cost < c.planner.settings.BacklogLines {
		p.probedAt = c.planner.now
		c.assign(p)
	}
}
