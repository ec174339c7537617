package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSubsets guards against exceeding the connection limits of endpoints. With one table for each zone, all its
// proxies connected to each endpoint, and a fifth of the attempts found no free connection (live run of scenario
// rate+silent, seed 241915007121).
func TestSubsets(t *testing.T) {
	for name, c := range map[string]struct {
		connections, proxies float64
		subsets              int
		maxUsers             float64 // upper bound of the fraction of the proxies that use an endpoint
	}{
		"high connection limit":       {1000, 120, 1, 1},
		"no limit configured":         {0, 120, 1, 1},
		"low limit":                   {60, 120, 4, 0.8},
		"very low limit":              {30, 120, 4, 0.8},
		"too few proxies for subsets": {10, 12, 1, 1},
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
				assert.InDelta(t, float64(1+i%3)/20, shares[i], 0.03, "all tables together give endpoint %d its share", i)
			}
		})
	}
}

// subsetShares returns, by endpoint, the fraction of the proxies of zone 0 whose tables contain it, and its share of
// the requests of the zone according to all these tables.
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
		assert.Positive(h.t, all, "each table has a line")
		for endpoint, weight := range wanted {
			if weight > 0 {
				users[endpoint] += 1 / subsets
				shares[endpoint] += weight / all / subsets
			}
		}
	}
	return users, shares
}

// TestSpilloverKeepsHomeLines guards against removing lines of the own zone from the tables of subsets when requests
// spill over. A small amount of spillover reduced each table to a quarter of its lines, and all lines were sent again
// whenever spillover began or ended (live run of scenario reload, seed 371080736025).
func TestSpilloverKeepsHomeLines(t *testing.T) {
	for name, c := range map[string]struct {
		util   float64 // utilization of the own zone's endpoints
		spills bool
	}{"no spillover": {0.4, false}, "some spillover": {0.95, true}, "much spillover": {1.2, true}} {
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
				settings["lines_per_s"] = 10000.0 // high, so that connections limit the tables, not the channel
			})
			h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
			h.rounds(12, steady(0, 20, 0, c.util, own[:10]...))
			tablesOf := map[int]int{} // number of tables that contain an endpoint
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
					assert.Equal(t, h.planner.subsetsOfZone, tablesOf[i], "number of tables with endpoint %d of the own zone", i)
					continue
				}
				assert.LessOrEqual(t, tablesOf[i], 2, "number of tables with endpoint %d of another zone", i)
				spillTables += tablesOf[i]
			}
			assert.Equal(t, c.spills, spillTables > 0)
		})
	}
}

// TestThousandsOfProxiesAreAssigned guards against empty tables in a fleet with so many proxies that the connection
// limits allow an arc length of less than a third of a table per line. The difference to 0 was below the hysteresis:
// arc lengths stayed 0, no table was ever filled, and 2,400 proxies kept using their static tables (scenario calm+mass
// at full size).
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
		assert.Positive(t, weightedEndpoints(h.weights[h.assigned[i][0].Table]), "proxy %d", i)
	}
}

// TestArcOverlap checks the overlap of lines with an arc, which may extend beyond the end of the ring.
func TestArcOverlap(t *testing.T) {
	for name, c := range map[string]struct {
		run         arc
		place, mass float64
		want        float64
	}{
		"inside":                             {arc{0.25, 0.5}, 0.3, 0.2, 0.2},
		"across the end of the arc":          {arc{0.25, 0.5}, 0.7, 0.2, 0.05},
		"outside":                            {arc{0.25, 0.5}, 0.8, 0.1, 0},
		"inside the wrapped part":            {arc{0.75, 0.5}, 0.1, 0.1, 0.1},
		"across the end of the wrapped part": {arc{0.75, 0.5}, 0.2, 0.2, 0.05},
		"a whole ring":                       {arc{0.5, 1}, 0, 0.25, 0.25},
		"next to a short arc":                {arc{0, 0.125}, 0.125, 0.125, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.InDelta(t, c.want, c.run.overlap(c.place, c.mass), 1e-9)
		})
	}
}
