package planner

// This file tracks the joined proxies and assigns them their tables: all tables of their subset at once, when they
// join or when an earlier assignment may be stale because the proxy may have left unnoticed. No tables are assigned
// while the static tables, with which the proxies start, route requests about as planned.

import (
	"math"
	"slices"
)

const (
	// assignmentWaitMs is the time between two attempts to assign tables while the channel has no room for them.
	assignmentWaitMs = 100.0

	// assignmentBacklogFraction is the fraction of the channel's backlog that assignments of tables may fill.
	assignmentBacklogFraction = 0.3

	// assignmentTimer is the name of the timer of the next attempt to assign tables.
	assignmentTimer = "bind"
)

// proxyState is the state of a joined proxy. Times are in ms.
type proxyState struct {
	ProxyJoined
	assigned  bool // it may hold its tables, so their lines are counted for it
	confirmed bool // it holds its tables: they were assigned after it joined, or it acknowledged their lines
	joinedAt  float64
	ackedAt   float64 // time of its latest acknowledgement; 0 if none
	probedAt  float64 // time when it was last assigned its tables as a probe; 0 if never
}

// join adds a proxy. A resumed proxy may still hold its tables, but only an acknowledgement of their lines proves it.
func (pb *publisher) join(joined ProxyJoined) {
	previous := pb.proxies[joined.Proxy]
	pb.proxies[joined.Proxy] = &proxyState{
		ProxyJoined: joined,
		assigned:    joined.Resumed && previous != nil && previous.assigned,
		joinedAt:    pb.planner.now,
	}
}

// confirm records that a proxy acknowledged lines that were commanded at a given time. If this was after the proxy
// joined and after the latest exclusion or readmission, which reach all proxies, the lines must belong to a table that
// the proxy holds.
func (pb *publisher) confirm(proxy *proxyState, commandedAt float64) {
	proxy.ackedAt = pb.planner.now
	if commandedAt > math.Max(proxy.joinedAt, pb.exclusion.lastChange) {
		proxy.confirmed = proxy.assigned
	}
}

// tablesOf returns the tables of a proxy's subset, indexed by class group.
func (pb *publisher) tablesOf(proxy *proxyState) []*table {
	first := pb.planner.tableNumber(pb.planner.subset(proxy.ProxyJoined), 0)
	return pb.tables[first : first+len(pb.planner.groups)]
}

// assignmentCost returns how many weights the tables of a proxy contain, and how many lines of the channel it takes to
// assign them.
func (pb *publisher) assignmentCost(proxy *proxyState) (weights int, cost float64) {
	cost = pb.headerLines()
	for _, t := range pb.tablesOf(proxy) {
		weights += len(t.sent)
		cost += float64(len(t.sent) + len(t.admissionSent) + 1)
	}
	return weights, cost
}

// assign assigns a proxy all tables of its subset.
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

// assignWaiting assigns tables to the proxies that wait for them, while the channel has room. If room is lacking, it
// sets a timer for the next attempt.
func (pb *publisher) assignWaiting() {
	minDivergence := minWorthwhileDiff * math.Min(1, pb.zoneHeaderSeconds())
	for _, index := range pb.waitingProxies() {
		proxy := pb.proxies[index]
		weights, cost := pb.assignmentCost(proxy)
		if weights == 0 || pb.planner.regions[proxy.Zone].divergence < minDivergence {
			continue // the static table is better than an empty one, or routes about as planned
		}
		queued := pb.window.queued
		if queued > 0 && queued+cost > assignmentBacklogFraction*pb.planner.settings.BacklogLines {
			pb.scheduleAssignment()
			return
		}
		pb.assign(proxy)
	}
}

// scheduleAssignment sets the timer of the next attempt to assign tables, unless it is already set.
func (pb *publisher) scheduleAssignment() {
	now := pb.planner.now
	if pb.nextAssignmentAt <= now {
		pb.nextAssignmentAt = now + assignmentWaitMs
		pb.planner.command(SetTimer{pb.nextAssignmentAt, assignmentTimer})
	}
}

// zoneHeaderSeconds returns how many seconds the channel needs for the headers of one message to each proxy of an
// average zone.
func (pb *publisher) zoneHeaderSeconds() float64 {
	p := pb.planner
	proxies := p.settings.ProxyCount.Or(1) / p.settings.Instances / float64(len(p.regions))
	return pb.headerLines() / pb.linesPerSecond() * proxies
}

// waitingProxies returns the indices of the proxies that wait for their tables. Proxies whose own zone has no ready
// endpoint come first.
func (pb *publisher) waitingProxies() []int {
	var waiting []int
	for index, proxy := range pb.proxies {
		if !proxy.confirmed {
			waiting = append(waiting, index)
		}
	}
	slices.Sort(waiting)
	ready := pb.planner.readyZones()
	slices.SortStableFunc(waiting, func(a, b int) int {
		return compareBool(ready[pb.proxies[a].Zone], ready[pb.proxies[b].Zone])
	})
	return waiting
}

// compareBool is a comparison function that orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// readyZones returns the set of zones that have at least one ready endpoint.
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
	// restartDivergence is the divergence of a restarted endpoint that is warming up. It justifies an assignment of
	// tables by itself, because the static tables contain the endpoint's old weight.
	restartDivergence = minWorthwhileDiff

	// unavailableDivergence is the divergence of an endpoint that drains or is gone. Two such endpoints justify an
	// assignment of tables, because notifying the proxies of both exclusions costs as much.
	unavailableDivergence = minWorthwhileDiff / 2
)

// planDivergence estimates the fraction of a group's requests that the proxies' static tables route differently than
// planned. It adds up the differences in weight, a divergence for the endpoints' states, and the random error that
// arises because a static table has only a few lines, drawn at random from the endpoints of its zone.
func (r *region) planDivergence(group int, allocations []allocation) float64 {
	static := make([]float64, len(allocations)) // weight in the static tables, by allocation
	sum := 1e-9
	count := 0.0
	divergence := 0.0
	for i := range allocations {
		c := r.candidates[allocations[i].endpoint]
		if c.Zone != r.zone || !r.planner.groups[group].mayUse(r.zone, c) {
			continue
		}
		if c.Started == 0 { // the static tables do not contain endpoints that started later
			static[i] = c.weight
		}
		sum += static[i]
		if static[i] > 0 {
			count++
		}
		divergence += r.stateDivergence(c)
	}
	for i := range allocations {
		divergence += math.Abs(allocations[i].share - static[i]/sum)
	}
	return divergence + r.chanceDivergence(count)
}

// stateDivergence returns the divergence that an endpoint's state adds: for an endpoint that is not ready, or that has
// restarted and is warming up. It is 0 for all others.
func (r *region) stateDivergence(c *candidate) float64 {
	switch {
	case c.Phase != Ready:
		return unavailableDivergence
	case r.planner.endpoints[c.Endpoint].restarted && c.warmUpFraction < 1:
		return restartDivergence
	}
	return 0
}

// chanceDivergence estimates the divergence caused by the random selection of the lines of static tables: the expected
// deviation of the shares of the given number of endpoints, by the number of lines in all static tables.
func (r *region) chanceDivergence(endpoints float64) float64 {
	p := r.planner
	zones := float64(len(p.regions))
	return math.Sqrt(endpoints * zones * p.demand.concentration / p.settings.StaticTableLines)
}
