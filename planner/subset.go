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
	// maxConnectionUse is the fraction of the lowest connection limit of an endpoint that may be used.
	maxConnectionUse = 0.7

	maxSubsets       = 8
	minSubsetProxies = 10  // fewer would not spread their requests evenly
	minArcLines      = 2.5 // lines of a run on average, so that proxies do not depend on one or two endpoints

	// minShareFraction is the fraction of its listed share below which an endpoint is in no table.
	minShareFraction = 0.05

	// arcHysteresis is the least change of a run's length, in tables, as each change alters many lines.
	arcHysteresis = 0.7

	// A line enters a table if at least this fraction of it lies in the run, and leaves it below the second.
	enterOverlap = 0.35
	leaveOverlap = 0.1

	// weightSteps is the number of steps in which the weight of a line at the end of a run changes, so that few lines
	// change.
	weightSteps = 3

	// unlimitedConnections stands in for a limit that is not configured.
	unlimitedConnections = 1e9

	// unlimitedLinesPerSecond stands in for a pace of the channel, in lines a second, that is not configured.
	unlimitedLinesPerSecond = 1e6
)

// subsetsOfZone returns the number of subsets of each zone's proxies: one, unless all proxies together would use too
// many of an endpoint's connections.
func subsetsOfZone(settings Settings, groups int) int {
	proxies := settings.ProxyCount.Or(1)
	if proxies <= maxConnectionUse*settings.MinConnectionLimit.Or(math.MaxFloat64) {
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
type ringLayout struct {
	shares     []float64  // shares, by allocation; 0: too small to be in any table
	lineCount  [2]float64 // by ring, the number of used shares
	shareSum   [2]float64 // by ring, the sum of the used shares
	readyCount float64    // endpoints that are ready and not ejected
}

// layOutRings lays the shares of a plan on the rings.
func (r *region) layOutRings(allocations []allocation) ringLayout {
	layout := ringLayout{shares: make([]float64, len(allocations))}
	for i := range allocations {
		a := &allocations[i]
		c := r.candidates[a.endpoint]
		if a.share > minShareFraction*a.weight {
			layout.shares[i] = a.share
		}
		if layout.shares[i] > 0 {
			layout.lineCount[a.ring]++
		}
		layout.shareSum[a.ring] += layout.shares[i]
		if c.Phase == Ready && c.healthFactor > 0 {
			layout.readyCount++
		}
	}
	return layout
}

// assignSubsets distributes the shares of a plan to the tables of the zone's subsets.
func (r *region) assignSubsets(group int, allocations []allocation) {
	layout := r.layOutRings(allocations)
	r.updateArcLengths(group, layout)
	unit := weightUnit(allocations)
	for subset := range r.planner.subsetsOfZone {
		r.layOutTable(group, subset, allocations, layout, unit)
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

// maxArcLines returns how many lines a table may have: as many as connections allow, and as many as could be sent to
// all proxies of the fleet within the drain grace, should they all join this controller at once.
func (r *region) maxArcLines(ready float64) float64 {
	settings := &r.planner.settings
	proxies := settings.ProxyCount.Or(1)
	lines := settings.LinesPerSecond.Or(unlimitedLinesPerSecond) * settings.DrainGraceMs / 1000
	sendable := lines/proxies - r.planner.publisher.headerLines()
	connectable := maxConnectionUse * settings.MinConnectionLimit.Or(unlimitedConnections) * ready / proxies
	return math.Min(sendable, connectable)
}

// updateArcLengths updates the lengths of a group's runs, in tables that each line is in. The lines of other zones
// get the room that the own ones leave.
func (r *region) updateArcLengths(group int, layout ringLayout) {
	lengths := r.arcLengths[group]
	maxLines := r.maxArcLines(layout.readyCount)
	lengths[homeRing] = r.arcLength(lengths[homeRing], maxLines, layout.lineCount[homeRing])
	lengths[spillRing] = r.arcLength(lengths[spillRing], maxLines-layout.lineCount[homeRing], layout.lineCount[spillRing])
	r.arcLengths[group] = lengths
}

// arcLength returns the length of a run, in tables that each line is in, with room for some of the lines of a ring.
// It changes only by a minimum, or to a whole ring.
func (r *region) arcLength(length, maxLines, lines float64) float64 {
	whole := float64(r.planner.subsetsOfZone)
	target := math.Max(1, math.Min(whole, whole*math.Max(maxLines-1, minArcLines)/math.Max(lines, 1)))
	if maxLines >= lines {
		target = whole
	}
	if target == whole || math.Abs(target-length) > arcHysteresis {
		return math.Round(target)
	}
	return length
}

// layOutTable gives the publisher the wanted weights of a subset's table.
func (r *region) layOutTable(group, subset int, allocations []allocation, layout ringLayout, unit float64) {
	p := r.planner
	t := p.publisher.tables[p.tableNumber(r.zone*p.subsetsOfZone+subset, group)]
	subsets := float64(p.subsetsOfZone)
	lengths := r.arcLengths[group]
	positions := [2]float64{} // place of the next line on each ring
	for i := range allocations {
		a := &allocations[i]
		tableArc := arc{from: float64(subset) / subsets, width: lengths[a.ring] / subsets}
		length := layout.shares[i] / math.Max(layout.shareSum[a.ring], 1e-9)
		overlap := tableArc.overlap(positions[a.ring], length)
		weight := 0.0
		if tableArc.includes(overlap, length, t.sent[a.endpoint] > 0) {
			weight = a.share / unit * (tableArc.weightFraction(overlap, length) * lengths[homeRing] / lengths[a.ring])
		}
		p.publisher.mailbox.enqueue(wantedWeight{t.number, a.endpoint, weight})
		positions[a.ring] += length
	}
}

// run is the part of a ring of length 1 that a table has; it may wrap around.
type arc struct{ from, width float64 }

// overlap returns how much of a line with a given place and mass lies in the run.
func (r arc) overlap(start, length float64) float64 {
	end := r.from + r.width
	direct := math.Max(0, math.Min(start+length, end)-math.Max(start, r.from))
	wrapped := math.Max(0, math.Min(start+length, r.from+r.width-1)-math.Max(start, r.from-1))
	return direct + wrapped
}

// holds returns whether a line is in the table, by its overlap with the run. A line that is there already stays longer.
func (r arc) includes(overlap, length float64, present bool) bool {
	threshold := enterOverlap
	if present {
		threshold = leaveOverlap
	}
	return overlap > threshold*math.Min(length, r.width)
}

// part returns the fraction of a line's weight in the table, in steps: 1 unless the line lies at the end of the run.
func (r arc) weightFraction(overlap, length float64) float64 {
	if r.width < 1 {
		return math.Ceil(weightSteps*overlap/length) / weightSteps
	}
	return 1
}
