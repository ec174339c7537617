package brain

// This file groups request classes that the same endpoints may serve: each group has a plan and tables of its own.

import (
	"math"
	"slices"
)

type classGroup struct {
	mask                    int
	onlyMachines, onlyZones IndexList
	ownZoneOnly             bool
}

func (b *Brain) groupClasses() {
	for i, kind := range b.classes {
		g := classGroup{ownZoneOnly: kind.OwnZoneOnly, onlyMachines: kind.OnlyMachines, onlyZones: kind.OnlyZones}
		same := func(h classGroup) bool {
			return h.ownZoneOnly == g.ownZoneOnly && slices.Equal(h.onlyMachines, g.onlyMachines) && slices.Equal(h.onlyZones, g.onlyZones)
		}
		if !slices.ContainsFunc(b.groups, same) {
			b.groups = append(b.groups, g)
		}
		b.groups[slices.IndexFunc(b.groups, same)].mask |= 1 << i
	}
}

// workPart is a group's part of all work: its reqs, times their response targets for want of a better guess.
func (b *Brain) workPart(g int) float64 {
	own, all := 0.0, 1e-9
	for k, kind := range b.classes {
		w := b.demand.ofClass(k) * kind.ResponseTargetMs
		own, all = own+pick(b.groups[g].mask&(1<<k) != 0, w, 0), all+w
	}
	return own / all
}

func (g *classGroup) mayUse(zone int, o *candidate) bool {
	return (!g.ownZoneOnly || o.Zone == zone) && g.onlyMachines.Has(o.Machine) && g.onlyZones.Has(o.Zone)
}

// weightFor is what an endpoint has left for a group when req kinds open to fewer endpoints have had theirs.
func (r *region) weightFor(g int, o *candidate) float64 {
	left := 1.0
	for h := range r.planner.groups {
		if r.groupWeight[h] < 0.99*r.groupWeight[g] && r.planner.groups[h].mayUse(r.zone, o) {
			left -= r.planner.workPart(h) * r.groupWeight[g] / math.Max(r.groupWeight[h], 1e-9)
		}
	}
	return o.weight * math.Max(left, 0.05)
}
