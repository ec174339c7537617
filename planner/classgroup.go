package planner

// This file groups request classes that the same endpoints may serve: each group has a plan and tables of its own.

import (
	"math"
	"slices"
)

const (
	// scarcerWeightRatio is the fraction of a group's endpoint weight below which another group counts as more restricted.
	scarcerWeightRatio = 0.99

	// minRemainingFraction is the least fraction of an endpoint's weight that more restricted groups leave to the others.
	minRemainingFraction = 0.05
)

// classGroup is a set of request classes that the same endpoints may serve.
type classGroup struct {
	mask         int // a bit for each class
	ownZoneOnly  bool
	onlyMachines IndexList
	onlyZones    IndexList
}

// groupClasses groups classes. Groups are ordered by their first class.
func groupClasses(classes []RequestClass) []classGroup {
	var groups []classGroup
	for i, class := range classes {
		index := slices.IndexFunc(groups, func(g classGroup) bool { return g.matches(class) })
		if index < 0 {
			index = len(groups)
			groups = append(groups, classGroup{
				ownZoneOnly: class.OwnZoneOnly, onlyMachines: class.OnlyMachines,
				onlyZones: class.OnlyZones,
			})
		}
		groups[index].mask |= 1 << i
	}
	return groups
}

// matches returns whether a class may be served by exactly the group's endpoints.
func (g *classGroup) matches(class RequestClass) bool {
	return g.ownZoneOnly == class.OwnZoneOnly && slices.Equal(g.onlyMachines, class.OnlyMachines) &&
		slices.Equal(g.onlyZones, class.OnlyZones)
}

// has returns whether a class is in the group.
func (g *classGroup) contains(class int) bool { return g.mask&(1<<class) != 0 }

// mayUse returns whether an endpoint may serve the group's requests that come to a zone's proxies.
func (g *classGroup) mayUse(zone int, c *candidate) bool {
	return (!g.ownZoneOnly || c.Zone == zone) && g.onlyMachines.Allows(c.Machine) && g.onlyZones.Allows(c.Zone)
}

// workFraction returns a group's fraction of all work. The work of a request is estimated by its class's response target.
func (p *Planner) workFraction(group int) float64 {
	own := 0.0
	all := 1e-9
	for i, class := range p.classes {
		work := p.demand.classRequests(i) * class.ResponseTargetMs
		if p.groups[group].contains(i) {
			own += work
		}
		all += work
	}
	return own / all
}

// remainingWeight returns the weight that an endpoint has left for a group after more restricted groups have taken theirs.
func (r *region) remainingWeight(group int, c *candidate) float64 {
	remaining := 1.0
	for other := range r.planner.groups {
		scarcer := r.groupWeight[other] < scarcerWeightRatio*r.groupWeight[group]
		if scarcer && r.planner.groups[other].mayUse(r.zone, c) {
			remaining -= r.planner.workFraction(other) * r.groupWeight[group] / math.Max(r.groupWeight[other], 1e-9)
		}
	}
	return c.weight * math.Max(remaining, minRemainingFraction)
}
