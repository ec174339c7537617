package planner

// This file divides the proxies of a zone into subsets with separate tables if endpoints accept fewer connections than
// there are proxies (compare "Reinventing Backend Subsetting at Google", ACM Queue 2022).
//
// The shares of a plan are laid out next to each other on a ring of length 1. There is one ring for endpoints of the
// region's own zone and one for endpoints of other zones. The table of a subset contains the lines on an arc of each
// ring. The arcs of the subsets start at evenly spaced positions and are as long as the endpoints' connection limits
// and the throughput of the channel allow, so that all tables together give each endpoint its share. If the connection
// limits suffice, the arcs are whole rings and all tables are identical.

import "math"

const (
	// maxConnectionUse is the fraction of the lowest connection limit of any endpoint that may be used.
	maxConnectionUse = 0.7

	maxSubsets       = 8   // upper bound of the number of subsets of a zone
	minSubsetProxies = 10  // minimum number of proxies per table; fewer would not spread their requests evenly
	minArcLines      = 2.5 // mean number of lines on an arc; with fewer, proxies would depend on one or two endpoints

	// minShareFraction is the fraction of its share by listed weight below which an endpoint is not in any table.
	minShareFraction = 0.05

	// arcHysteresis is the change of an arc's length, in tables per line, up to which the length stays the same, since
	// each change of the length alters many lines.
	arcHysteresis = 0.7

	// A line is added to a table if its overlap with the table's arc is more than the fraction enterOverlap of the line
	// or of the arc, whichever is shorter. It is removed if the overlap is not more than the fraction leaveOverlap.
	enterOverlap = 0.35
	leaveOverlap = 0.1

	// weightSteps is the number of steps to which the weight of a line at the end of an arc is rounded, so that fewer
	// lines change.
	weightSteps = 3

	// unlimitedConnections replaces a connection limit that is not configured.
	unlimitedConnections = 1e9

	// unlimitedLinesPerSecond replaces a throughput of the channel that is not configured.
	unlimitedLinesPerSecond = 1e6
)

// subsetsOfZone returns the number of subsets that the proxies of each zone are divided into: 1, unless all proxies
// together would use too many of an endpoint's connections. Groups is the number of class groups.
func subsetsOfZone(settings Settings, groups int) int {
	proxies := settings.ProxyCount.Or(1)
	if proxies <= maxConnectionUse*settings.MinConnectionLimit.Or(math.MaxFloat64) {
		return 1
	}
	tablesOfSubset := max(1, settings.ZoneCount*groups)
	return max(1, min(maxSubsets, int(proxies)/(minSubsetProxies*tablesOfSubset)))
}

// subset returns the number of a proxy's subset. Subsets are numbered consecutively over all zones.
func (p *Planner) subset(proxy ProxyJoined) int {
	return proxy.Zone*p.subsetsOfZone + proxy.Proxy%p.subsetsOfZone
}

// tableNumber returns the number of the table of a subset for a class group.
func (p *Planner) tableNumber(subset, group int) int { return subset*len(p.groups) + group }

// subsetOfTable returns the number of the subset that a table is for.
func (p *Planner) subsetOfTable(table int) int { return table / len(p.groups) }

// ringLayout is the layout of the shares of a plan on the two rings.
type ringLayout struct {
	shares     []float64  // by index of the allocation; 0: too small to be in any table
	lineCount  [2]float64 // by ring, number of shares above 0
	shareSum   [2]float64 // by ring, sum of the shares
	readyCount float64    // number of endpoints that are ready and not ejected
}

// layOutRings lays out the shares of a plan on the rings.
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

// assignSubsets distributes the shares of a class group's plan over the tables of the zone's subsets.
func (r *region) assignSubsets(group int, allocations []allocation) {
	layout := r.layOutRings(allocations)
	r.updateArcLengths(group, layout)
	unit := weightUnit(allocations)
	for subset := range r.planner.subsetsOfZone {
		r.layOutTable(group, subset, allocations, layout, unit)
	}
}

// weightUnit returns the largest ratio of an endpoint's share to its share by listed weight. Weights are sent in
// multiples of this ratio, so that the line with the largest ratio keeps its weight and a small amount of spillover
// changes few other lines.
func weightUnit(allocations []allocation) float64 {
	unit := 1e-9
	for i := range allocations {
		a := &allocations[i]
		unit = math.Max(unit, a.share/math.Max(a.weight, 1e-9))
	}
	return unit
}

// maxArcLines returns the number of lines that a table may have, given the number of ready endpoints. It is the lower
// of two bounds: the number that the connection limits of the endpoints allow, and the number that the channel can send
// to each proxy of the fleet within the drain grace period if all proxies join this controller at once.
func (r *region) maxArcLines(ready float64) float64 {
	settings := &r.planner.settings
	proxies := settings.ProxyCount.Or(1)
	lines := settings.LinesPerSecond.Or(unlimitedLinesPerSecond) * settings.DrainGraceMs / 1000
	sendable := lines/proxies - r.planner.publisher.headerLines()
	connectable := maxConnectionUse * settings.MinConnectionLimit.Or(unlimitedConnections) * ready / proxies
	return math.Min(sendable, connectable)
}

// updateArcLengths updates the arc lengths of a class group on both rings. The unit is the number of tables that
// contain each line. Lines of other zones may use what the lines of the own zone leave of the maximum per table.
func (r *region) updateArcLengths(group int, layout ringLayout) {
	lengths := r.arcLengths[group]
	maxLines := r.maxArcLines(layout.readyCount)
	lengths[homeRing] = r.arcLength(lengths[homeRing], maxLines, layout.lineCount[homeRing])
	lengths[spillRing] = r.arcLength(lengths[spillRing], maxLines-layout.lineCount[homeRing],
		layout.lineCount[spillRing])
	r.arcLengths[group] = lengths
}

// arcLength returns the new length of an arc, as the number of tables that contain each line. The parameters are the
// current length, the maximum number of lines per table and the number of lines on the ring. The current length is kept
// if the change would be small, unless the arc becomes the whole ring.
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

// layOutTable computes the weights of a subset's table for a class group and passes them to the publisher. Unit is the
// result of weightUnit.
func (r *region) layOutTable(group, subset int, allocations []allocation, layout ringLayout, unit float64) {
	p := r.planner
	t := p.publisher.tables[p.tableNumber(r.zone*p.subsetsOfZone+subset, group)]
	subsets := float64(p.subsetsOfZone)
	lengths := r.arcLengths[group]
	positions := [2]float64{} // position of the next line on each ring, from 0 to 1
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

// arc is the section of a ring of length 1 that belongs to a table. It may extend beyond position 1, where the ring
// continues at 0.
type arc struct{ from, width float64 }

// overlap returns how much of a line with the given start and length lies on the arc.
func (r arc) overlap(start, length float64) float64 {
	end := r.from + r.width
	direct := math.Max(0, math.Min(start+length, end)-math.Max(start, r.from))
	wrapped := math.Max(0, math.Min(start+length, r.from+r.width-1)-math.Max(start, r.from-1))
	return direct + wrapped
}

// includes returns whether a line is to be in the table, by its overlap with the arc. Lines that are present already
// need less overlap, so that lines are not added and removed repeatedly.
func (r arc) includes(overlap, length float64, present bool) bool {
	threshold := enterOverlap
	if present {
		threshold = leaveOverlap
	}
	return overlap > threshold*math.Min(length, r.width)
}

// weightFraction returns the fraction of a line's weight that applies in the table, rounded up to a multiple of
// 1/weightSteps. It is 1 unless the line extends beyond an end of the arc.
func (r arc) weightFraction(overlap, length float64) float64 {
	if r.width < 1 {
		return math.Ceil(weightSteps*overlap/length) / weightSteps
	}
	return 1
}
