package brain

// This file keeps the proxies that have joined, as the publisher sees them, and assigns them their tables. A proxy is
// assigned all tables of its subset at once, when it joins, or when its assignment may be stale: nobody saw whether it
// left in between. Where the tables would bring about what its standing ones do, none are assigned.

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// planDivergence is the part of a group's reqs that standing tables bring elsewhere than planned, also by chance. Two
// that are out cost a bind to say; whoever is told anything answers for cold endpoints that come again.
func (r *region) planDivergence(g int, lines []allocation) float64 {
	old, sum, count, apart := make([]float64, len(lines)), 1e-9, 0.0, 0.0
	for i, l := range lines {
		o := r.candidates[l.endpoint]
		mine := pick(o.Zone == r.zone && r.planner.groups[g].mayUse(r.zone, o), 1, 0)
		old[i] = mine * pick(o.Started == 0, o.weight, 0)
		sum, count = sum+old[i], count+pick(old[i] > 0, 1, 0)
		apart += mine * pick(o.Phase != Ready, worthwhileGap/2, pick(r.planner.endpoints[l.endpoint].restarted && o.warmUp < 1, worthwhileGap, 0))
	}
	for i, l := range lines {
		apart += math.Abs(l.share - old[i]/sum)
	}
	return apart + math.Sqrt(count*float64(len(r.planner.regions))*r.planner.demand.concentration/r.planner.settings.StandingLines)
}

type proxyState struct {
	Joined
	assigned, confirmed bool    // may be on its tables, so that their lines cost; surely is
	joinedAt            float64 // when it joined
	ackedAt             float64 // when it last answered a mark
	probedAt            float64 // when the window was last probed with it
}

// join takes in a proxy. One that may have stood through a gap may still hold its tables; only an acknowledgement of
// their lines shows it.
func (pb *publisher) join(joined Joined) {
	before := pb.proxies[joined.Proxy]
	pb.proxies[joined.Proxy] = &proxyState{
		Joined:   joined,
		assigned: joined.Stood && before != nil && before.assigned,
		joinedAt: pb.planner.now,
	}
}

// confirm notes that a proxy acknowledged something that was ordered at a time. If the proxy had joined by then, and no
// exclusion was ordered since, which reaches all proxies, it can only have come by a table that it holds.
func (pb *publisher) confirm(proxy *proxyState, orderedAt float64) {
	proxy.ackedAt = pb.planner.now
	if orderedAt > math.Max(proxy.joinedAt, pb.exclusion.lastChange) {
		proxy.confirmed = proxy.assigned
	}
}

// assignmentCost returns how many lines the tables of a proxy have, and what it costs to bind it to them.
func (c *publisher) assignmentCost(p *proxyState) (lines int, cost float64) {
	cost = c.headerLines()
	for _, t := range c.tablesOf(p) {
		lines, cost = lines+len(t.sent), cost+float64(len(t.sent)+len(t.admissionSent)+1)
	}
	return lines, cost
}

func (c *publisher) tablesOf(p *proxyState) []*table {
	first := c.planner.tableNumber(c.planner.subset(p.Joined), 0)
	return c.tables[first : first+len(c.planner.groups)]
}

// assign puts a proxy on its tables.
func (c *publisher) assign(p *proxyState) {
	_, cost := c.assignmentCost(p)
	for g, t := range c.tablesOf(p) {
		c.planner.command(Bind{Table: t.number, Proxy: p.Proxy, Kinds: c.planner.groups[g].mask})
	}
	c.window.add(cost)
	c.linesSinceAck[p.Proxy] += cost
	p.assigned, p.confirmed = true, true
}

func (c *publisher) assignWaiting() {
	waits, lit, heads := maps.Clone(c.proxies), map[int]bool{}, c.headerLines()/c.planner.settings.LinesPerSecond.Or(1000)
	heads *= c.planner.settings.ProxyCount.Or(1) / c.planner.settings.Instances / float64(len(c.planner.regions))
	maps.DeleteFunc(waits, func(_ int, p *proxyState) bool { return p.confirmed })
	names := slices.Sorted(maps.Keys(waits))
	for _, e := range c.planner.endpoints {
		lit[e.Zone] = lit[e.Zone] || e.listed && e.Phase == Ready
	}
	sort.SliceStable(names, func(i, j int) bool { // first those whose own zone has nothing left
		return !lit[c.proxies[names[i]].Zone] && lit[c.proxies[names[j]].Zone]
	})
	for _, name := range names {
		p := c.proxies[name]
		lines, cost := c.assignmentCost(p)
		if lines == 0 || c.planner.regions[p.Zone].divergence < worthwhileGap*math.Min(1, heads) { // heads: s of the channel
			continue // what it stands with is better than nothing, or as good
		}
		if waiting := c.window.queued; waiting > 0 && waiting+cost > 0.3*c.planner.settings.BacklogLines {
			if c.assignmentAt <= c.planner.now {
				c.assignmentAt = c.planner.now + assignmentWaitMs
				c.planner.command(WakeAt{c.assignmentAt, "bind"})
			}
			return
		}
		c.assign(p)
	}
}
