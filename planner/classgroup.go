package planner

// This file groups request classes that may be served by the same endpoints. Each group has its own plan and routing
// tables.

import (
	"math"
	"slices"
)

const (
	// scarcerWeightRatio is the ratio of two groups' endpoint weights below which the group with the lower weight
	// counts as more restricted.
	scarcerWeightRatio = 0.99

	// minRemainingFraction is the lower bound of the fraction of an endpoint's weight that remains for a group after
	// the demand of more restricted groups is subtracted.
	minRemainingFraction = 0.05
)

// classGroup is a set of request classes that may be served by the same endpoints.
type classGroup struct {
	mask         int // bit i is set if class i is in the group
	ownZoneOnly  bool
	onlyMachines IndexList
	onlyZones    IndexList
}

// groupClasses groups the classes by the endpoints that may serve them. Groups are ordered by their first class.
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

// matches returns whether a class has the same endpoint restrictions as the group.
func (g *classGroup) matches(class RequestClass) bool {
	return g.ownZoneOnly == class.OwnZoneOnly && slices.Equal(g.onlyMachines, class.OnlyMachines) &&
		slices.Equal(g.onlyZones, class.OnlyZones)
}

// contains returns whether the class with this index is in the group.
func (g *classGroup) contains(class int) bool { return g.mask&(1<<class) != 0 }

// mayUse returns whether an endpoint may serve requests of the group that arrive at the proxies of a zone.
func (g *classGroup) mayUse(zone int, c *candidate) bool {
	return (!g.ownZoneOnly || c.Zone == zone) && g.onlyMachines.Allows(c.Machine) && g.onlyZones.Allows(c.Zone)
}

// workFraction returns a group's fraction of the recent work of all groups. The work of a request is estimated by the
// response target of its class.
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

// remainingWeight returns the weight of an endpoint that remains for a group after the expected work of more
// restricted groups is subtracted.
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
