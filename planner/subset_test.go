package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSubsets guards endpoints that take fewer connections than there are proxies: with one table for a zone all
// connected to each, and a fifth of the attempts found none free (live day rate+silent, seed 241915007121).
func TestSubsets(t *testing.T) {
	for name, c := range map[string]struct {
		connections, proxies float64
		subsets              int
		maxUsers             float64 // part of the proxies at an endpoint
	}{
		"room for all":        {1000, 120, 1, 1},
		"no limit configured": {0, 120, 1, 1},
		"room for few":        {60, 120, 4, 0.8},
		"room for very few":   {30, 120, 4, 0.8},
		"few proxies anyway":  {10, 12, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var list []Entry
			for i := range 20 {
				list = append(list, Entry{Endpoint: i, Zone: i % 2, Weight: 1 + float64(i%3)})
			}
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["proxy_count"] = c.proxies
				settings["conns_least"] = c.connections
				settings["zones"] = []any{"a", "b", "c"}
			})
			h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
			assert.Equal(t, c.subsets, h.planner.subsetsOfZone)
			users, shares := h.subsetShares()
			for i := 0; i < 20; i += 2 {
				assert.LessOrEqual(t, users[i], c.maxUsers)
				assert.InDelta(t, float64(1+i%3)/20, shares[i], 0.03, "each gets its share, endpoint %d", i)
			}
		})
	}
}

// subsetShares returns, by endpoint of zone 0, the part of the zone's proxies whose tables it is in, and the share
// that it gets by all of them.
func (h *harness) subsetShares() (users, shares map[int]float64) {
	users = map[int]float64{}
	shares = map[int]float64{}
	subsets := float64(h.planner.subsetsOfZone)
	for subset := range h.planner.subsetsOfZone {
		wanted := h.planner.publisher.tables[subset].wanted
		all := 0.0
		for _, weight := range wanted {
			all += weight
		}
		assert.Positive(h.t, all, "no proxy is left without a line")
		for endpoint, weight := range wanted {
			if weight > 0 {
				users[endpoint] += 1 / subsets
				shares[endpoint] += weight / all / subsets
			}
		}
	}
	return users, shares
}

// TestSpilloverKeepsHomeLines guards tables of zones whose proxies are dealt to subsets: a little spillover beside
// the own lines cut each table to a quarter of them, and all were sent again as it came and went (reload live, seed
// 371080736025).
func TestSpilloverKeepsHomeLines(t *testing.T) {
	for name, c := range map[string]struct {
		util   float64 // of the own zone's endpoints
		spills bool
	}{"no spill": {0.4, false}, "some": {0.95, true}, "much": {1.2, true}} {
		t.Run(name, func(t *testing.T) {
			var list []Entry
			own := []int{}
			for i := range 30 {
				list = append(list, Entry{Endpoint: i, Zone: i / 10, Weight: 1})
				own = append(own, i%10)
			}
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["proxy_count"] = 150.0
				settings["conns_least"] = 74.0
				settings["zones"] = []any{"a", "b", "c"}
				settings["by_zone"] = true
				settings["lines_per_s"] = 10000.0 // connections bound the tables here, not the channel
			})
			h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
			h.rounds(12, steady(0, 20, 0, c.util, own[:10]...))
			tablesOf := map[int]int{} // tables that an endpoint is in
			for subset := range h.planner.subsetsOfZone {
				for i, weight := range h.planner.publisher.tables[subset].wanted {
					if weight > 0 {
						tablesOf[i]++
					}
				}
			}
			spillTables := 0
			for i := range 30 {
				if i < 10 {
					assert.Equal(t, h.planner.subsetsOfZone, tablesOf[i], "endpoint %d of the zone", i)
					continue
				}
				assert.LessOrEqual(t, tablesOf[i], 2, "endpoint %d of another", i)
				spillTables += tablesOf[i]
			}
			assert.Equal(t, c.spills, spillTables > 0)
		})
	}
}

// TestThousandsOfProxiesAreAssigned guards a fleet of so many proxies that connections leave each table less than a
// third of a run: runs stayed at none, no table was ever laid, and 2,400 proxies went by their standing tables
// (calm+mass in full).
func TestThousandsOfProxiesAreAssigned(t *testing.T) {
	h := newHarness(t, func(settings map[string]any, entries []Entry) {
		settings["proxy_count"] = 2400.0
		settings["conns_least"] = 60.0
		settings["zones"] = []any{"a", "b", "c"}
		settings["backlog"] = 48000.0
		settings["drain_grace"] = 72000.0
		settings["by_zone"] = true
	})
	var list []Entry
	for i := range 198 {
		list = append(list, Entry{Endpoint: i, Zone: i / 66, Weight: 3})
	}
	h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
	h.join(2, 100, 0, 2)
	h.rounds(10, steady(0, 5, 0, 0.4, 1, 2, 3))
	assert.Len(t, h.assigned, 100)
	for i := range 100 {
		assert.Positive(t, used(h.weights[h.assigned[i][0].Table]), "proxy %d", i)
	}
}

// TestArcOverlap holds the overlap of lines with a run, which may wrap around.
func TestRunOverlap(t *testing.T) {
	for name, c := range map[string]struct {
		run         arc
		place, mass float64
		want        float64
	}{
		"inside":             {arc{0.25, 0.5}, 0.3, 0.2, 0.2},
		"across its end":     {arc{0.25, 0.5}, 0.7, 0.2, 0.05},
		"outside":            {arc{0.25, 0.5}, 0.8, 0.1, 0},
		"wrapped":            {arc{0.75, 0.5}, 0.1, 0.1, 0.1},
		"across a wrapped":   {arc{0.75, 0.5}, 0.2, 0.2, 0.05},
		"a whole ring":       {arc{0.5, 1}, 0, 0.25, 0.25},
		"beside a short run": {arc{0, 0.125}, 0.125, 0.125, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.InDelta(t, c.want, c.run.overlap(c.place, c.mass), 1e-9)
		})
	}
}
