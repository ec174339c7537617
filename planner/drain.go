package planner

// This file excludes endpoints that drain or are gone. Proxies with assigned tables are notified by lines, which go
// before all others (publisher.go). Proxies that wait for their tables are notified by SetExcluded, which reaches all
// of them, but only halfway through the drain grace: most have their tables by then, which costs less. An excluded
// endpoint that is ready again is let in again.
//
// exclusionDeadline returns the deadline of a drain.

import (
	"maps"
	"math"
	"slices"
)

// exclusion tracks which endpoints are unavailable, and which of them are excluded. Times are in ms.
type exclusion struct {
	unavailable map[int]float64 // endpoints that drain or are gone, and since when
	excludedAt  map[int]float64 // excluded endpoints, and since when
	lastChange  float64         // when an endpoint was last excluded or let in again
}

// newExclusion returns the state in which all endpoints are available.
func newExclusion() exclusion {
	return exclusion{unavailable: map[int]float64{}, excludedAt: map[int]float64{}}
}

// update applies a change of an endpoint's availability.
func (x *exclusion) update(change availability, now float64) {
	if change.ready {
		delete(x.unavailable, change.endpoint)
	} else {
		x.unavailable[change.endpoint] = now
	}
}

// isUnavailable returns whether an endpoint drains or is gone.
func (x *exclusion) isUnavailable(endpoint int) bool {
	_, found := x.unavailable[endpoint]
	return found
}

// recipients is who has to be notified of an exclusion.
type recipients struct {
	waiting          []*proxyState   // proxies that wait for their tables, in any order
	waitingOfZone    map[int]float64 // how many
	assignedOfSubset map[int]float64 // how many proxies have tables, by subset
}

// recipients counts the proxies that wait for their tables and those that have them.
func (pb *publisher) recipients() recipients {
	to := recipients{waitingOfZone: map[int]float64{}, assignedOfSubset: map[int]float64{}}
	for _, proxy := range pb.proxies {
		if proxy.assigned {
			to.assignedOfSubset[pb.planner.subset(proxy.ProxyJoined)]++
		}
		if !proxy.confirmed {
			to.waitingOfZone[proxy.Zone]++
			to.waiting = append(to.waiting, proxy)
		}
	}
	return to
}

// excludeUnavailable lets in endpoints that are ready again and excludes those that are due, as far as the channel has
// room.
func (pb *publisher) excludeUnavailable() {
	x := &pb.exclusion
	to := pb.recipients()
	lastChange := x.lastChange
	pb.readmitReady(to)
	ackExpected := len(pb.linesSinceAck) > 0 // some proxy has lines to acknowledge anyway
	before := pb.window.written
	for _, endpoint := range slices.Sorted(maps.Keys(x.unavailable)) {
		if pb.isExclusionDue(endpoint, to) && !pb.isInAssignedTable(endpoint, to) {
			pb.exclude(endpoint, to, lastChange)
		}
	}
	if pb.window.written > before && !ackExpected {
		pb.assignForAck()
	}
}

// readmitReady lets in excluded endpoints that are ready again. An endpoint that warms up has to wait while proxies
// wait for their tables: their standing lines have weights that the planner did not set, and would overload it.
func (pb *publisher) readmitReady(to recipients) {
	x := &pb.exclusion
	for _, endpoint := range slices.Sorted(maps.Keys(x.excludedAt)) {
		safe := len(to.waiting) == 0 || !pb.planner.isWarmingUp(endpoint)
		if !x.isUnavailable(endpoint) && safe {
			pb.planner.command(SetExcluded{endpoint, false})
			x.lastChange = pb.planner.now
			delete(x.excludedAt, endpoint)
		}
	}
}

// isExclusionDue returns whether an unavailable endpoint is to be excluded now: once, if no proxy waits for its
// tables, or when the deadline of some waiting proxy that may hold it is over.
func (pb *publisher) isExclusionDue(endpoint int, to recipients) bool {
	if len(to.waiting) == 0 && pb.exclusion.excludedAt[endpoint] == 0 {
		return true
	}
	for _, proxy := range to.waiting {
		if pb.mayHold(endpoint, proxy, to) && pb.isDeadlineReached(endpoint, proxy) {
			return true
		}
	}
	return false
}

// isDeadlineReached returns whether a waiting proxy has to be notified now that an endpoint is unavailable: it has not
// been since it joined, and its lines of that time may still stand.
func (pb *publisher) isDeadlineReached(endpoint int, proxy *proxyState) bool {
	x := &pb.exclusion
	since := pb.mayHoldSince(endpoint, proxy)
	return since > x.excludedAt[endpoint] && since < x.unavailable[endpoint]+lineLifetimeMs &&
		pb.planner.now >= pb.exclusionDeadline(endpoint, proxy)
}

// mayHoldSince returns since when a proxy may hold an unavailable endpoint.
func (pb *publisher) mayHoldSince(endpoint int, proxy *proxyState) float64 {
	return math.Max(proxy.joinedAt, pb.exclusion.unavailable[endpoint])
}

// exclusionDeadline returns when a waiting proxy is notified that an endpoint is unavailable: halfway through the drain
// grace, which leaves the other half for the message to arrive.
func (pb *publisher) exclusionDeadline(endpoint int, proxy *proxyState) float64 {
	return pb.mayHoldSince(endpoint, proxy) + pb.planner.settings.DrainGraceMs/2
}

// mayHold returns whether a waiting proxy may hold an endpoint: one of its own zone, or of a zone none of whose proxies
// wait, which others may spill over to.
func (pb *publisher) mayHold(endpoint int, proxy *proxyState, to recipients) bool {
	zone := pb.planner.endpoints[endpoint].Zone
	return proxy.Zone == zone || to.waitingOfZone[zone] == 0
}

// isInAssignedTable returns whether a table that proxies hold has a line of an endpoint. Removing the line comes first, at the
// same cost.
func (pb *publisher) isInAssignedTable(endpoint int, to recipients) bool {
	return slices.ContainsFunc(pb.tables, func(t *table) bool {
		return t.sent[endpoint] > 0 && to.assignedOfSubset[pb.planner.subsetOfTable(t.number)] > 0
	})
}

// exclude excludes an endpoint if messages are allowed now and fit into the channel; if they do not fit, it is blocked.
func (pb *publisher) exclude(endpoint int, to recipients, lastChange float64) {
	x := &pb.exclusion
	now := pb.planner.now
	cost := 0.0
	for _, proxy := range to.waiting {
		cost += pb.exclusionCost(endpoint, proxy, to)
	}
	if cost > 0 && lastChange+pb.messageInterval() > now {
		return
	}
	if cost > 0 && !pb.fits(cost) {
		pb.blocked.exclusions++
		return
	}
	pb.planner.command(SetExcluded{endpoint, true})
	pb.window.add(cost)
	for _, proxy := range to.waiting {
		pb.linesSinceAck[proxy.Proxy] += pb.exclusionCost(endpoint, proxy, to)
	}
	x.lastChange = now
	x.excludedAt[endpoint] = math.Max(now, minTimestampMs)
}

// exclusionCost returns the lines that an exclusion costs at a proxy: none if it cannot hold the endpoint.
func (pb *publisher) exclusionCost(endpoint int, proxy *proxyState, to recipients) float64 {
	if !pb.mayHold(endpoint, proxy, to) {
		return 0
	}
	if pb.linesSinceAck[proxy.Proxy] == 0 {
		return 1 + pb.headerLines()
	}
	return 1
}

// assignForAck assigns one proxy its tables beside exclusions that go out alone. Those are counted for all proxies
// that may hold the endpoint; if none does, no proxy receives the request for an acknowledgement, and the count would
// stand until a probe.
func (pb *publisher) assignForAck() {
	proxy := pb.probeTarget()
	if proxy == nil {
		return
	}
	if _, cost := pb.assignmentCost(proxy); pb.fits(cost) {
		proxy.probedAt = pb.planner.now
		pb.assign(proxy)
	}
}
