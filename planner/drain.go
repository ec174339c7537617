package planner

// This file excludes endpoints that drain or are gone. Proxies with assigned tables are notified by lines of these
// tables, which are sent before all others (publisher.go). Proxies that still wait for their tables are notified by
// SetExcluded, which reaches all proxies, but only halfway through the drain grace (exclusionDeadline): by then most
// proxies have their tables, so fewer messages are needed. An excluded endpoint that is ready again is readmitted.

import (
	"maps"
	"math"
	"slices"
)

// minZoneDraw is the number of endpoints in a zone from which the static tables of its proxies contain no others.
const minZoneDraw = 3

// exclusion tracks which endpoints are unavailable, and which of them are excluded. Times are in ms.
type exclusion struct {
	unavailable map[int]float64 // endpoints that drain or are gone, with the time at which this was reported
	excludedAt  map[int]float64 // excluded endpoints, with the time of the exclusion
	suspected   map[int]bool    // endpoints that may be excluded since they had another index
	lastChange  float64         // time of the latest exclusion or readmission of any endpoint
	lastSentAt  float64         // time of the latest exclusion or readmission that was sent to proxies
}

// newExclusion returns an exclusion state in which all endpoints are available.
func newExclusion() exclusion {
	return exclusion{unavailable: map[int]float64{}, excludedAt: map[int]float64{}, suspected: map[int]bool{}}
}

// reassign discards the state of the endpoint to which an index belonged before. That endpoint stays excluded, because
// proxies may hold it in their static tables. The endpoint that has the index now may have been excluded earlier.
func (x *exclusion) reassign(endpoint int) {
	delete(x.unavailable, endpoint)
	delete(x.excludedAt, endpoint)
	x.suspected[endpoint] = true
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

// recipients describes the proxies that an exclusion may have to reach.
type recipients struct {
	waiting          []*proxyState   // proxies that wait for their tables, in any order
	waitingOfZone    map[int]float64 // number of waiting proxies, by zone
	assignedOfSubset map[int]float64 // number of proxies that have assigned tables, by subset
	smallZones       map[int]bool    // zones with fewer than minZoneDraw endpoints; nil if not computed yet
}

// recipients returns the proxies that wait for their tables, and the numbers of waiting and of assigned proxies.
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

// excludeUnavailable readmits endpoints that are ready again and excludes unavailable endpoints whose exclusion is due,
// while the channel has room.
func (pb *publisher) excludeUnavailable() {
	x := &pb.exclusion
	to := pb.recipients()
	lastSentAt := x.lastSentAt
	pb.readmitReady(to)
	ackExpected := len(pb.linesSinceAck) > 0 // some proxy was sent lines that it will acknowledge
	before := pb.window.written
	for _, endpoint := range slices.Sorted(maps.Keys(x.unavailable)) {
		if pb.isExclusionDue(endpoint, to) && !pb.isInAssignedTable(endpoint, to) {
			pb.exclude(endpoint, to, lastSentAt)
		}
	}
	if pb.window.written > before && !ackExpected {
		pb.assignForAck()
	}
}

// readmitReady ends the exclusion of endpoints that are ready again. An endpoint that is warming up stays excluded
// while any proxy waits for its tables: such a proxy uses its static table, whose weights the planner did not set, and
// would overload the endpoint.
func (pb *publisher) readmitReady(to recipients) {
	x := &pb.exclusion
	for _, endpoint := range x.candidatesForReadmission() {
		safe := len(to.waiting) == 0 || !pb.planner.isWarmingUp(endpoint)
		if !x.isUnavailable(endpoint) && safe {
			pb.planner.command(SetExcluded{endpoint, false})
			x.lastChange = pb.planner.now
			if _, excluded := x.excludedAt[endpoint]; excluded { // otherwise, hardly any proxy holds it
				x.lastSentAt = pb.planner.now
			}
			delete(x.excludedAt, endpoint)
			delete(x.suspected, endpoint)
		}
	}
}

// candidatesForReadmission returns the endpoints that are or may be excluded, in ascending order.
func (x *exclusion) candidatesForReadmission() []int {
	candidates := slices.AppendSeq(slices.Collect(maps.Keys(x.excludedAt)), maps.Keys(x.suspected))
	slices.Sort(candidates)
	return slices.Compact(candidates)
}

// isExclusionDue returns whether an unavailable endpoint should be excluded now. If no proxy waits for its tables, the
// endpoint is excluded once; otherwise it is excluded at the deadline of each waiting proxy that may hold it.
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

// isDeadlineReached returns whether a waiting proxy must be notified now that an endpoint is unavailable. This is the
// case if the endpoint has not been excluded since the proxy may hold it, the proxy joined no later than lineLifetimeMs
// after the endpoint became unavailable, and the deadline has passed.
func (pb *publisher) isDeadlineReached(endpoint int, proxy *proxyState) bool {
	x := &pb.exclusion
	since := pb.mayHoldSince(endpoint, proxy)
	return since > x.excludedAt[endpoint] && since < x.unavailable[endpoint]+lineLifetimeMs &&
		pb.planner.now >= pb.exclusionDeadline(endpoint, proxy)
}

// mayHoldSince returns the time, in ms, from which an unavailable endpoint may wrongly be in a proxy's table: when the
// proxy joined or the endpoint became unavailable, whichever is later.
func (pb *publisher) mayHoldSince(endpoint int, proxy *proxyState) float64 {
	return math.Max(proxy.joinedAt, pb.exclusion.unavailable[endpoint])
}

// exclusionDeadline returns the time, in ms, at which a waiting proxy is notified that an endpoint is unavailable. It
// is halfway through the drain grace, which leaves the other half for the message to arrive.
func (pb *publisher) exclusionDeadline(endpoint int, proxy *proxyState) float64 {
	return pb.mayHoldSince(endpoint, proxy) + pb.planner.settings.DrainGraceMs/2
}

// mayHold returns whether a waiting proxy's table may contain an endpoint. This is assumed for endpoints of the proxy's
// zone, and for endpoints of zones without waiting proxies, to which requests of other zones may spill over.
func (pb *publisher) mayHold(endpoint int, proxy *proxyState, to recipients) bool {
	zone := pb.planner.endpoints[endpoint].Zone
	return proxy.Zone == zone || to.waitingOfZone[zone] == 0
}

// isInAssignedTable returns whether a table that is assigned to any proxy has a line of an endpoint. In that case the
// line is removed first, which costs as much as an exclusion.
func (pb *publisher) isInAssignedTable(endpoint int, to recipients) bool {
	return slices.ContainsFunc(pb.tables, func(t *table) bool {
		return t.sent[endpoint] > 0 && to.assignedOfSubset[pb.planner.subsetOfTable(t.number)] > 0
	})
}

// exclude excludes an endpoint. If this requires messages to waiting proxies, it does nothing until the message
// interval since lastSentAt has passed, and counts the exclusion as blocked if the messages do not fit into the channel.
func (pb *publisher) exclude(endpoint int, to recipients, lastSentAt float64) {
	x := &pb.exclusion
	now := pb.planner.now
	to.smallZones = pb.planner.smallZones()
	cost := 0.0
	for _, proxy := range to.waiting {
		cost += pb.exclusionCost(endpoint, proxy, to)
	}
	if cost > 0 && lastSentAt+pb.messageInterval() > now {
		return
	}
	if cost > 0 && !pb.fitsOrNeverWill(cost) {
		pb.blocked.exclusions++
		return
	}
	pb.planner.command(SetExcluded{endpoint, true})
	pb.window.add(cost)
	for _, proxy := range to.waiting {
		pb.linesSinceAck[proxy.Proxy] += pb.exclusionCost(endpoint, proxy, to)
	}
	x.lastChange = now
	x.lastSentAt = now
	x.excludedAt[endpoint] = math.Max(now, minTimestampMs)
}

// fitsOrNeverWill returns whether lines can be sent: they fit into the channel, or nothing is in flight and they are more
// than the backlog holds. As their number is an upper bound, waiting could not make them fit, and an exclusion must not
// wait for ever.
func (pb *publisher) fitsOrNeverWill(lines float64) bool {
	return pb.fits(lines) || pb.window.inFlight() == 0
}

// exclusionCost returns an upper bound of how many lines the exclusion of an endpoint adds to the messages to a proxy. It
// is 0 if the proxy cannot hold the endpoint, also because its static table contains only endpoints of its own zone, and
// includes the message overhead if no other lines were sent to the proxy.
func (pb *publisher) exclusionCost(endpoint int, proxy *proxyState, to recipients) float64 {
	ownZoneOnly := !to.smallZones[proxy.Zone] && proxy.Zone != pb.planner.endpoints[endpoint].Zone
	if ownZoneOnly || !pb.mayHold(endpoint, proxy, to) {
		return 0
	}
	if pb.linesSinceAck[proxy.Proxy] == 0 {
		return 1 + pb.headerLines()
	}
	return 1
}

// assignForAck assigns one proxy its tables if exclusions are the only commands of a flush. Their lines count for all
// proxies that may hold the endpoint. If none holds it, no proxy receives the request for an acknowledgement, and
// without this assignment the lines would count as in flight until a probe is acknowledged.
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

// smallZones returns the zones with fewer than minZoneDraw endpoints that are listed and neither drain nor are gone. A
// zone may have had fewer when a proxy started, so the result only decides how many lines an exclusion counts, not
// whether it is sent.
func (p *Planner) smallZones() map[int]bool {
	counts := make([]int, len(p.regions))
	for _, e := range p.endpoints {
		if e.listed && e.Phase == Ready {
			counts[e.Zone]++
		}
	}
	small := map[int]bool{}
	for zone, count := range counts {
		small[zone] = count < minZoneDraw
	}
	return small
}
