package brain

// This file deals a zone's proxies to subsets with tables of their own, where endpoints take fewer connections than
// there are proxies (compare "Reinventing Backend Subsetting at Google", ACM Queue 2022).
//
// The shares of a plan are laid end to end on a ring of length 1, one ring for the region's own endpoints and one for
// those that it spills over to. A subset's table has the run of a ring that begins at the subset's place, and the run
// is as long as connections and the channel allow. So each endpoint is in about as many tables as its run is long,
// and all tables together bring each endpoint its share. Where connections suffice all runs are whole and the tables
// are alike.

import "math"

// countSubsets is the number of parts of a zone's proxies: one, unless an endpoint can't take connections of all.
func (b *Brain) countSubsets() int {
	proxies := b.settings.ProxyCount.Or(1)
	if proxies <= connectionUse*b.settings.LeastConnections.Or(math.MaxFloat64) {
		return 1
	}
	return max(1, min(maxSubsets, int(proxies)/(minSubsetProxies*max(1, b.settings.ZoneCount*len(b.groups)))))
}

func (b *Brain) subset(p Joined) int { return p.Zone*b.subsetsOfZone + p.Proxy%b.subsetsOfZone } // its zone and part

func (b *Brain) tableNumber(slot, g int) int { return slot*len(b.groups) + g } // of a slot, for a group

// assignSubsets gives each of a group's tables a run of the zone's own lines, mostly all, and one of those spilt that
// drives none of them out, laid end to end by share on a ring, as long as the endpoints' connections allow.
func (r *region) assignSubsets(g int, lines []allocation, unit float64) {
	var ready, count, sum = 0.0, [2]float64{}, [2]float64{} // of the own, of those spilt
	used, parts := make([]float64, len(lines)), float64(r.planner.subsetsOfZone)
	for i, l := range lines {
		used[i] = pick(l.share > minSharePart*l.weight, l.share, 0)
		ready += pick(r.candidates[l.endpoint].Phase == Ready && r.candidates[l.endpoint].trust > 0, 1, 0)
		count[l.ring], sum[l.ring] = count[l.ring]+pick(used[i] > 0, 1, 0), sum[l.ring]+used[i]
	}
	proxies := r.planner.settings.ProxyCount.Or(1) // were all to come here at once, all have their tables in time
	told := r.planner.settings.LinesPerSecond.Or(1e6)*r.planner.settings.DrainGraceMs/1000/proxies - r.planner.publisher.headerLines()
	most := math.Min(told, connectionUse*r.planner.settings.LeastConnections.Or(1e9)*ready/proxies)
	for k, room := range []float64{most, most - count[0]} {
		want := math.Max(1, math.Min(parts, parts*math.Max(room-1, minRunLines)/math.Max(count[k], 1)))
		if want = pick(room >= count[k], parts, want); want == parts || math.Abs(want-r.runLengths[2*g+k]) > 0.7 {
			r.runLengths[2*g+k] = math.Round(want)
		}
	}
	for p := range r.planner.subsetsOfZone {
		t, at := r.planner.publisher.tables[r.planner.tableNumber(r.zone*r.planner.subsetsOfZone+p, g)], [2]float64{}
		for i, l := range lines {
			k := l.ring
			from, width, mass := float64(p)/parts, r.runLengths[2*g+k]/parts, used[i]/math.Max(sum[k], 1e-9)
			over := math.Max(0, math.Min(at[k]+mass, from+width)-math.Max(at[k], from)) +
				math.Max(0, math.Min(at[k]+mass, from+width-1)-math.Max(at[k], from-1))
			in := over > pick(t.sent[l.endpoint] > 0, leavePart, enterPart)*math.Min(mass, width)
			part := pick(width < 1, math.Ceil(3*over/mass)/3, 1) * r.runLengths[2*g] / r.runLengths[2*g+k]
			r.planner.publisher.mailbox.enqueue(wantedWeight{t.number, l.endpoint, pick(in, l.share/unit*part, 0)})
			at[k] += mass
		}
	}
}

// weightUnit returns the share, in parts of the listed one, of the endpoint that gets most of what it is listed with.
// Lines are sent in this unit: the fullest stands still, so that a little spillover changes few other lines.
func weightUnit(allocations []allocation) float64 {
	unit := 1e-9
	for i := range allocations {
		a := &allocations[i]
		unit = math.Max(unit, a.share/math.Max(a.weight, 1e-9))
	}
	return unit
}
