package controller

import (
	"maps"
	"slices"
)

// minRate, in requests a second, stands for the usual rate of a proxy that has none, so that its zone has shares.
const minRate = 1e-9

// zoneShares sums the shares of a zone's proxies, each times the proxy's usual rate.
type zoneShares struct {
	rate       float64         // of all its proxies and their tables
	byEndpoint map[int]float64 // share times rate
}

// Shares returns, by zone of the proxies, which part of its requests each endpoint gets by the tables as commanded so
// far, proxies counted by their usual rate. It is for those who look on: replay, the emulator, operators.
func (c *Core) Shares() map[int]map[int]float64 {
	zones := map[int]*zoneShares{}
	byTable := map[int]map[int]float64{} // shares by table, made once
	for _, s := range c.sessions.inOrder() {
		for _, number := range slices.Sorted(maps.Keys(s.assignedClasses)) {
			shares := byTable[number]
			if shares == nil {
				shares = c.tableShares(number)
				byTable[number] = shares
			}
			if len(shares) == 0 {
				continue
			}
			zone := zones[s.zone]
			if zone == nil {
				zone = &zoneShares{byEndpoint: map[int]float64{}}
				zones[s.zone] = zone
			}
			zone.add(max(s.hello.Rate, minRate), shares)
		}
	}
	normalized := map[int]map[int]float64{}
	for number, zone := range zones {
		normalized[number] = zone.normalized()
	}
	return normalized
}

// add adds a proxy's table.
func (z *zoneShares) add(rate float64, shares map[int]float64) {
	z.rate += rate
	for endpoint, share := range shares {
		z.byEndpoint[endpoint] += rate * share
	}
}

// normalized returns the shares as parts of one.
func (z *zoneShares) normalized() map[int]float64 {
	for endpoint := range z.byEndpoint {
		z.byEndpoint[endpoint] /= z.rate
	}
	return z.byEndpoint
}

// tableShares returns the lines of a table whose endpoints are not excluded, as parts of one.
func (c *Core) tableShares(number int) map[int]float64 {
	t := c.tables.byNumber[number]
	if t == nil {
		return nil
	}
	sum := 0.0
	for _, endpoint := range t.endpoints() { // in order, so that the sum is the same each time
		if !c.excluded[endpoint] {
			sum += t.weights[endpoint]
		}
	}
	shares := map[int]float64{}
	for endpoint, weight := range t.weights {
		if !c.excluded[endpoint] && sum > 0 {
			shares[endpoint] = weight / sum
		}
	}
	return shares
}
