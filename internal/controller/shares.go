package controller

import (
	"maps"
	"slices"
)

// Shares returns, by zone of the proxies, which part of its reqs each endpoint gets by the tables as ordered so far,
// proxies counted by their usual rate. It is for those who look on: replay, the emulator, operators.
func (c *Core) Shares() map[int]map[int]float64 {
	out := map[int]map[int]float64{}
	rates := map[int]float64{}
	tables := map[int]map[int]float64{} // parts by table, made once
	for _, s := range c.inOrder() {
		rate := max(s.hello.Rate, 1e-9)
		for _, number := range slices.Sorted(maps.Keys(s.bound)) {
			parts := tables[number]
			if parts == nil {
				parts = c.parts(number)
				tables[number] = parts
			}
			if len(parts) == 0 {
				continue
			}
			zone := out[s.zone]
			if zone == nil {
				zone = map[int]float64{}
				out[s.zone] = zone
			}
			rates[s.zone] += rate
			for e, part := range parts {
				zone[e] += rate * part
			}
		}
	}
	for z, zone := range out {
		for e := range zone {
			zone[e] /= rates[z]
		}
	}
	return out
}

// parts returns a table's lines that may be picked as parts of one.
func (c *Core) parts(number int) map[int]float64 {
	t := c.tables[number]
	if t == nil {
		return nil
	}
	sum, parts := 0.0, map[int]float64{}
	for _, e := range slices.Sorted(maps.Keys(t.lines)) { // in order: sums are to be the same each time
		if !c.withdrawn[e] {
			sum += t.lines[e]
		}
	}
	for e, w := range t.lines {
		if !c.withdrawn[e] && sum > 0 {
			parts[e] = w / sum
		}
	}
	return parts
}
