package planner

// This file divides a zone's proxies into subsets with tables of their own where endpoints accept fewer connections
// than there are proxies (compare "Reinventing Backend Subsetting at Google", ACM Queue 2022).
//
// The shares of a plan are laid end to end on a ring of length 1, one ring for the region's own endpoints and one for
// those that it spills over to. A subset's table has a run of each ring that starts at the subset's place and is as
// long as connections and the channel allow. All tables together bring each endpoint its share. Where connections
// suffice, runs are whole rings and all tables are alike.

import "math"

const (
	// connectionUse is the fraction of the lowest connection limit of an endpoint that may be used.
	connectionUse = 0.7

	maxSubsets       = 8
	minSubsetProxies = 10  // fewer would not spread their requests evenly
	minRunLines      = 2.5 // lines of a run on average, so that proxies do not depend on one or two endpoints

	// minSharePart is the fraction of its listed share below which an endpoint is in no table.
	minSharePart = 0.05

	// runHysteresis is the least change of a run's length, in tables, as each change alters many lines.
	runHysteresis = 0.7

	// A line enters a table if at least this fraction of it lies in the run, and leaves it below the second.
	enterPart = 0.35
	leavePart = 0.1

	// lineSteps is the number of steps in which the weight of a line at the end of a run changes, so that few lines
	// change.
	lineSteps = 3

	// unlimitedConnections stands in for a limit that is not configured.
	unlimitedConnections = 1e9

	// unlimitedLines stands in for a pace of the channel, in lines a second, that is not configured.
	unlimitedLines = 1e6
)

// subsetsOfZone returns the number of subsets of each zone's proxies: one, unless all proxies together would use too
// many of an endpoint's connections.
func subsetsOfZone(settings Settings, groups int) int {
	proxies := settings.ProxyCount.Or(1)
	if proxies <= connectionUse*settings.MinConnectionLimit.Or(math.MaxFloat64) {
		return 1
	}
	tablesOfSubset := max(1, settings.ZoneCount*groups)
	return max(1, min(maxSubsets, int(proxies)/(minSubsetProxies*tablesOfSubset)))
}

// subset returns the number of a proxy's subset, counted over all zones.
func (p *Planner) subset(proxy ProxyJoined) int {
	return proxy.Zone*p.subsetsOfZone + proxy.Proxy%p.subsetsOfZone
}

// tableNumber returns the number of a subset's table for a class group.
func (p *Planner) tableNumber(subset, group int) int { return subset*len(p.groups) + group }

// subsetOfTable returns the number of the subset that a table is for.
func (p *Planner) subsetOfTable(table int) int { return table / len(p.groups) }

// rings is the layout of a plan's shares on the two rings.
type rings struct {
	used  []float64  // shares, by allocation; 0: too small to be in any table
	lines [2]float64 // by ring, the number of used shares
	sum   [2]float64 // by ring, the sum of the used shares
	ready float64    // endpoints that are ready and not ejected
}

// layRings lays the shares of a plan on the rings.
func (r *region) layRings(allocations []allocation) rings {
	laid := rings{used: make([]float64, len(allocations))}
	for i := range allocations {
		a := &allocations[i]
		c := r.candidates[a.endpoint]
		if a.share > minSharePart*a.weight {
			laid.used[i] = a.share
		}
		if laid.used[i] > 0 {
			laid.lines[a.ring]++
		}
		laid.sum[a.ring] += laid.used[i]
		if c.Phase == Ready && c.healthFactor > 0 {
			laid.ready++
		}
	}
	return laid
}

// assignSubsets distributes the shares of a plan to the tables of the zone's subsets.
func (r *region) assignSubsets(group int, allocations []allocation) {
	laid := r.layRings(allocations)
	r.updateRunLengths(group, laid)
	unit := weightUnit(allocations)
	for subset := range r.planner.subsetsOfZone {
		r.layTable(group, subset, allocations, laid, unit)
	}
}

// weightUnit returns the largest ratio of a share to the listed one. Weights are sent in this unit, so that the line
// with the largest ratio does not change, and a little spillover changes few others.
func weightUnit(allocations []allocation) float64 {
	unit := 1e-9
	for i := range allocations {
		a := &allocations[i]
		unit = math.Max(unit, a.share/math.Max(a.weight, 1e-9))
	}
	return unit
}

// maxRunLines returns how many lines a table may have: as many as connections allow, and as many as could be sent to
// all proxies of the fleet within the drain grace, should they all join this controller at once.
func (r *region) maxRunLines(ready float64) float64 {
	settings := &r.planner.settings
	proxies := settings.ProxyCount.Or(1)
	lines := settings.LinesPerSecond.Or(unlimitedLines) * settings.DrainGraceMs / 1000
	sendable := lines/proxies - r.planner.publisher.headerLines()
	connectable := connectionUse * settings.MinConnectionLimit.Or(unlimitedConnections) * ready / proxies
	return math.Min(sendable, connectable)
}

// updateRunLengths updates the lengths of a group's runs, in tables that each line is in. The lines of other zones
// get the room that the own ones leave.
func (r *region) updateRunLengths(group int, laid rings) {
	lengths := r.arcLengths[group]
	room := r.maxRunLines(laid.ready)
	lengths[homeRing] = r.runLength(lengths[homeRing], room, laid.lines[homeRing])
	lengths[spillRing] = r.runLength(lengths[spillRing], room-laid.lines[homeRing], laid.lines[spillRing])
	r.arcLengths[group] = lengths
}

// runLength returns the length of a run, in tables that each line is in, with room for some of the lines of a ring.
// It changes only by a minimum, or to a whole ring.
func (r *region) runLength(length, room, lines float64) float64 {
	whole := float64(r.planner.subsetsOfZone)
	want := math.Max(1, math.Min(whole, whole*math.Max(room-1, minRunLines)/math.Max(lines, 1)))
	if room >= lines {
		want = whole
	}
	if want == whole || math.Abs(want-length) > runHysteresis {
		return math.Round(want)
	}
	return length
}

// layTable gives the publisher the wanted weights of a subset's table.
func (r *region) layTable(group, subset int, allocations []allocation, laid rings, unit float64) {
	p := r.planner
	t := p.publisher.tables[p.tableNumber(r.zone*p.subsetsOfZone+subset, group)]
	subsets := float64(p.subsetsOfZone)
	lengths := r.arcLengths[group]
	places := [2]float64{} // place of the next line on each ring
	for i := range allocations {
		a := &allocations[i]
		tableRun := run{from: float64(subset) / subsets, width: lengths[a.ring] / subsets}
		mass := laid.used[i] / math.Max(laid.sum[a.ring], 1e-9)
		overlap := tableRun.overlap(places[a.ring], mass)
		weight := 0.0
		if tableRun.holds(overlap, mass, t.sent[a.endpoint] > 0) {
			weight = a.share / unit * (tableRun.part(overlap, mass) * lengths[homeRing] / lengths[a.ring])
		}
		p.publisher.mailbox.enqueue(wantedWeight{t.number, a.endpoint, weight})
		places[a.ring] += mass
	}
}

// run is the part of a ring of length 1 that a table has; it may wrap around.
type run struct{ from, width float64 }

// overlap returns how much of a line with a given place and mass lies in the run.
func (r run) overlap(place, mass float64) float64 {
	end := r.from + r.width
	direct := math.Max(0, math.Min(place+mass, end)-math.Max(place, r.from))
	wrapped := math.Max(0, math.Min(place+mass, r.from+r.width-1)-math.Max(place, r.from-1))
	return direct + wrapped
}

// holds returns whether a line is in the table, by its overlap with the run. A line that is there already stays longer.
func (r run) holds(overlap, mass float64, stands bool) bool {
	threshold := enterPart
	if stands {
		threshold = leavePart
	}
	return overlap > threshold*math.Min(mass, r.width)
}

// part returns the fraction of a line's weight in the table, in steps: 1 unless the line lies at the end of the run.
func (r run) part(overlap, mass float64) float64 {
	if r.width < 1 {
		return math.Ceil(lineSteps*overlap/mass) / lineSteps
	}
	return 1
}
