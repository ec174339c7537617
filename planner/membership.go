package planner

// This file tracks the joined proxies and assigns them their tables: all tables of their subset at once, when they
// join, or when the assignment may be stale because a proxy may have left unnoticed. As long as standing tables route
// about as planned, none are assigned.

import (
	"math"
	"slices"
)

const (
	// assignmentWaitMs is the time between two attempts to assign tables for which the channel has no room.
	assignmentWaitMs = 100.0

	// assignmentPart is the fraction of the backlog up to which tables are assigned.
	assignmentPart = 0.3

	// assignmentTimer names the timer of the next attempt.
	assignmentTimer = "bind"
)

// proxyState is a joined proxy. Times are in ms.
type proxyState struct {
	ProxyJoined
	assigned  bool // it may hold its tables, so that their lines count
	confirmed bool // it does hold them: they were assigned since it joined, or it acknowledged their lines
	joinedAt  float64
	ackedAt   float64 // when it last acknowledged anything
	probedAt  float64 // when the window was last probed with it
}

// join adds a proxy. One that resumed may still hold its tables; only an acknowledgement of their lines proves it.
func (pb *publisher) join(joined ProxyJoined) {
	before := pb.proxies[joined.Proxy]
	pb.proxies[joined.Proxy] = &proxyState{
		ProxyJoined: joined,
		assigned:    joined.Resumed && before != nil && before.assigned,
		joinedAt:    pb.planner.now,
	}
}

// confirm notes that a proxy acknowledged lines that were ordered at a given time. If it had joined by then, and no
// exclusion was commanded since, which reaches all proxies, the lines can only be those of a table that it holds.
func (pb *publisher) confirm(proxy *proxyState, orderedAt float64) {
	proxy.ackedAt = pb.planner.now
	if orderedAt > math.Max(proxy.joinedAt, pb.exclusion.lastChange) {
		proxy.confirmed = proxy.assigned
	}
}

// tablesOf returns the tables of a proxy's subset, by class group.
func (pb *publisher) tablesOf(proxy *proxyState) []*table {
	first := pb.planner.tableNumber(pb.planner.subset(proxy.ProxyJoined), 0)
	return pb.tables[first : first+len(pb.planner.groups)]
}

// assignmentCost returns how many weights the tables of a proxy have, and the lines that it costs to assign them.
func (pb *publisher) assignmentCost(proxy *proxyState) (weights int, cost float64) {
	cost = pb.headerLines()
	for _, t := range pb.tablesOf(proxy) {
		weights += len(t.sent)
		cost += float64(len(t.sent) + len(t.admissionSent) + 1)
	}
	return weights, cost
}

// assign assigns a proxy its tables.
func (pb *publisher) assign(proxy *proxyState) {
	_, cost := pb.assignmentCost(proxy)
	for group, t := range pb.tablesOf(proxy) {
		pb.planner.command(AssignTable{Table: t.number, Proxy: proxy.Proxy, Classes: pb.planner.groups[group].mask})
	}
	pb.window.add(cost)
	pb.linesSinceAck[proxy.Proxy] += cost
	proxy.assigned = true
	proxy.confirmed = true
}

// assignWaiting assigns tables to proxies that wait for them, while the channel has room, and sets a timer for the
// rest.
func (pb *publisher) assignWaiting() {
	worthwhile := worthwhileGap * math.Min(1, pb.zoneHeaderSeconds())
	for _, name := range pb.waitingProxies() {
		proxy := pb.proxies[name]
		weights, cost := pb.assignmentCost(proxy)
		if weights == 0 || pb.planner.regions[proxy.Zone].divergence < worthwhile {
			continue // its standing table is better than an empty one, or as good
		}
		queued := pb.window.queued
		if queued > 0 && queued+cost > assignmentPart*pb.planner.settings.BacklogLines {
			pb.assignLater()
			return
		}
		pb.assign(proxy)
	}
}

// assignLater sets the timer of the next attempt, unless it is set.
func (pb *publisher) assignLater() {
	now := pb.planner.now
	if pb.assignmentAt <= now {
		pb.assignmentAt = now + assignmentWaitMs
		pb.planner.command(SetTimer{pb.assignmentAt, assignmentTimer})
	}
}

// zoneHeaderSeconds returns how many seconds the channel takes for a message to each proxy of an average zone.
func (pb *publisher) zoneHeaderSeconds() float64 {
	p := pb.planner
	proxies := p.settings.ProxyCount.Or(1) / p.settings.Instances / float64(len(p.regions))
	return pb.headerLines() / pb.linesPerSecond() * proxies
}

// waitingProxies returns the proxies that wait for their tables, first those whose own zone has no ready endpoint.
func (pb *publisher) waitingProxies() []int {
	var waiting []int
	for name, proxy := range pb.proxies {
		if !proxy.confirmed {
			waiting = append(waiting, name)
		}
	}
	slices.Sort(waiting)
	ready := pb.planner.readyZones()
	slices.SortStableFunc(waiting, func(a, b int) int {
		return compareBool(ready[pb.proxies[a].Zone], ready[pb.proxies[b].Zone])
	})
	return waiting
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// readyZones returns the zones with an endpoint that is ready.
func (p *Planner) readyZones() map[int]bool {
	ready := map[int]bool{}
	for _, e := range p.endpoints {
		if e.listed && e.Phase == Ready {
			ready[e.Zone] = true
		}
	}
	return ready
}

const (
	// A restarted endpoint that warms up justifies an assignment by itself, as standing tables have its old weight.
	restartDivergence = worthwhileGap

	// Two unavailable endpoints do so, too: notifying proxies of both costs as much.
	unavailableDivergence = worthwhileGap / 2
)

// planDivergence returns the fraction of a group's requests that standing tables route differently than planned, by
// weight, by the endpoints' states, and by chance, as a standing table has few lines, drawn from the endpoints of its
// zone.
func (r *region) planDivergence(group int, allocations []allocation) float64 {
	standing := make([]float64, len(allocations)) // weight that standing tables have, by allocation
	sum := 1e-9
	count := 0.0
	divergence := 0.0
	for i := range allocations {
		c := r.candidates[allocations[i].endpoint]
		if c.Zone != r.zone || !r.planner.groups[group].mayUse(r.zone, c) {
			continue
		}
		if c.Started == 0 { // one that started since then is in no standing table
			standing[i] = c.weight
		}
		sum += standing[i]
		if standing[i] > 0 {
			count++
		}
		divergence += r.stateDivergence(c)
	}
	for i := range allocations {
		divergence += math.Abs(allocations[i].share - standing[i]/sum)
	}
	return divergence + r.chanceDivergence(count)
}

// stateDivergence returns the divergence that counts for an endpoint's state.
func (r *region) stateDivergence(c *candidate) float64 {
	switch {
	case c.Phase != Ready:
		return unavailableDivergence
	case r.planner.endpoints[c.Endpoint].restarted && c.warmUpFraction < 1:
		return restartDivergence
	}
	return 0
}

// chanceDivergence estimates the divergence by the random choice of standing lines: the deviation of the shares of some
// endpoints, given the lines of all standing tables.
func (r *region) chanceDivergence(endpoints float64) float64 {
	p := r.planner
	zones := float64(len(p.regions))
	return math.Sqrt(endpoints * zones * p.demand.concentration / p.settings.StaticTableLines)
}
