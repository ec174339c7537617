package controller

import (
	"maps"
	"slices"
)

// minRate is the lowest rate with which a proxy is weighted, in requests per second. It avoids a division by zero for
// zones whose proxies all have a rate of 0.
const minRate = 1e-9

// zoneShares accumulates the endpoint shares of a zone's proxies, weighted by the proxies' usual rates.
type zoneShares struct {
	rate       float64         // sum of the rates; a proxy counts once for each of its tables
	byEndpoint map[int]float64 // sum of share times rate, by endpoint
}

// Shares returns, by zone of the proxies and by endpoint, the fraction of requests that the current tables direct to
// the endpoint. Proxies are weighted by their usual rates. It is meant for inspection; the core does not use it.
func (c *Core) Shares() map[int]map[int]float64 {
	zones := map[int]*zoneShares{}
	byTable := map[int]map[int]float64{} // shares by table, computed once each
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

// add adds the shares of one table of a proxy with the given rate.
func (z *zoneShares) add(rate float64, shares map[int]float64) {
	z.rate += rate
	for endpoint, share := range shares {
		z.byEndpoint[endpoint] += rate * share
	}
}

// normalized converts the sums to fractions that add up to 1 and returns them. It modifies byEndpoint.
func (z *zoneShares) normalized() map[int]float64 {
	for endpoint := range z.byEndpoint {
		z.byEndpoint[endpoint] /= z.rate
	}
	return z.byEndpoint
}

// tableShares returns the weights in a table as fractions that add up to 1. Excluded endpoints are omitted.
func (c *Core) tableShares(number int) map[int]float64 {
	t := c.tables.byNumber[number]
	if t == nil {
		return nil
	}
	sum := 0.0
	for _, endpoint := range t.endpoints() { // in a fixed order, so that rounding is reproducible
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
