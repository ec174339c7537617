package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSubsets guards endpoints that take fewer connections than there are proxies: with one table for a zone all connected
// to each, and a fifth of the attempts found none free (live day rate+silent, seed 241915007121).
func TestSubsets(t *testing.T) {
	for name, c := range map[string]struct {
		connections, proxies float64
		subsets              int
		most                 float64 // part of the proxies at an endpoint
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
				settings["proxy_count"], settings["conns_least"], settings["zones"] = c.proxies, c.connections, []any{"a", "b", "c"}
			})
			h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
			assert.Equal(t, c.subsets, h.planner.subsetsOfZone)
			users, sum := map[int]float64{}, map[int]float64{}
			for subset := range h.planner.subsetsOfZone {
				want, all := h.planner.publisher.tables[subset].wanted, 0.0
				for _, w := range want {
					all += w
				}
				assert.Positive(t, all, "no proxy is left without a line")
				for i, w := range want {
					if w > 0 {
						users[i] += 1 / float64(h.planner.subsetsOfZone)
						sum[i] += w / all / float64(h.planner.subsetsOfZone)
					}
				}
			}
			for i := 0; i < 20; i += 2 {
				assert.LessOrEqual(t, users[i], c.most)
				assert.InDelta(t, float64(1+i%3)/20, sum[i], 0.03, "each gets its share, endpoint %d", i)
			}
		})
	}
}

// TestSpilloverKeepsHomeLines guards tables of zones whose proxies are dealt to subsets: a little spillover beside the own
// lines cut each table to a quarter of them, and all were sent again as it came and went (reload live, seed 371080736025).
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
				settings["proxy_count"], settings["conns_least"], settings["zones"], settings["by_zone"] = 150.0, 74.0, []any{"a", "b", "c"}, true
				settings["lines_per_s"] = 10000.0 // connections bound the tables here, not the channel
			})
			h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
			h.rounds(12, func() []Event { return attempts(0, 20, 0, c.util, own[:10]...) })
			in := map[int]int{} // tables that an endpoint is in
			for subset := range h.planner.subsetsOfZone {
				for i, w := range h.planner.publisher.tables[subset].wanted {
					in[i] += int(pick(w > 0, 1, 0))
				}
			}
			spilt := 0
			for i := range 30 {
				if i < 10 {
					assert.Equal(t, h.planner.subsetsOfZone, in[i], "endpoint %d of the zone", i)
					continue
				}
				assert.LessOrEqual(t, in[i], 2, "endpoint %d of another", i)
				spilt += in[i]
			}
			assert.Equal(t, c.spills, spilt > 0)
		})
	}
}

// TestThousandsOfProxiesAreAssigned guards a fleet of so many proxies that connections leave each table less than a third of
// a run: runs stayed at none, no table was ever laid, and 2,400 proxies went by their standing tables (calm+mass in full).
func TestThousandsOfProxiesAreAssigned(t *testing.T) {
	h := newHarness(t, func(settings map[string]any, entries []Entry) {
		settings["proxy_count"], settings["conns_least"], settings["zones"], settings["backlog"] = 2400.0, 60.0, []any{"a", "b", "c"}, 48000.0
		settings["drain_grace"], settings["by_zone"] = 72000.0, true
	})
	var list []Entry
	for i := range 198 {
		list = append(list, Entry{Endpoint: i, Zone: i / 66, Weight: 3})
	}
	h.step(EndpointUpdate{Mode: Snapshot, Entries: list})
	for i := 2; i < 100; i++ {
		h.step(ProxyJoined{Proxy: i, Zone: 0, Rate: 2})
	}
	h.rounds(10, func() []Event { return attempts(0, 5, 0, 0.4, 1, 2, 3) })
	assert.Len(t, h.assigned, 100)
	for i := range 100 {
		lines := 0
		for _, w := range h.weights[h.assigned[i][0].Table] {
			lines += int(pick(w > 0, 1, 0))
		}
		assert.Positive(t, lines, "proxy %d", i)
	}
}
