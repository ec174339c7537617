package planner

// This file tracks how many requests arrive at the joined proxies, by zone and by request class.

import (
	"maps"
	"math"
	"slices"
)

const (
	// demandDecay is the factor by which earlier counts are reduced with each RequestStats event.
	demandDecay = 0.97

	// priorRequests is the weight, in requests, of the prior assumption that a zone's demand equals its baseline and
	// that all classes have equal demand.
	priorRequests = 20.0
)

// demand holds estimates of the requests that arrive at the joined proxies. Counts decay exponentially, so that recent
// requests have the most weight.
type demand struct {
	observed map[int]float64 // decayed count of requests, by the proxies' zone
	baseline map[int]float64 // decayed count of requests that the proxies ordinarily receive in that time, by zone
	byClass  map[int]float64 // decayed count of requests, by class index

	// The following fields are computed once per control round.
	rateByZone    map[int]float64 // requests per second, by the proxies' zone
	totalRate     float64         // requests per second, all zones
	proxiesByZone map[int]float64 // number of joined proxies

	// concentration is the Herfindahl index of the demand over the proxies of all controllers: the sum of the squared
	// fractions of the demand, estimated from the joined proxies. It is 1/n for n proxies with equal rates, and higher
	// for uneven rates.
	concentration float64
}

// newDemand returns the estimates before any request has been reported.
func newDemand() demand {
	return demand{
		observed: map[int]float64{}, baseline: map[int]float64{}, byClass: map[int]float64{},
		rateByZone: map[int]float64{}, proxiesByZone: map[int]float64{},
	}
}

// observe counts the requests of one class that arrived at a joined proxy. The proxy's ordinary rate covers all
// classes, whose number is given by classes, and is divided equally among them.
func (d *demand) observe(stats RequestStats, proxy ProxyJoined, classes int) {
	requests := float64(stats.Requests)
	d.observed[proxy.Zone] = demandDecay*d.observed[proxy.Zone] + requests
	d.byClass[stats.Class] = demandDecay*d.byClass[stats.Class] + requests
	d.baseline[proxy.Zone] = demandDecay*d.baseline[proxy.Zone] + proxy.Rate*stats.SpanMs/1000/float64(classes)
}

// surge returns the recent demand of a zone as a multiple of its baseline demand; 1 if nothing has been reported.
func (d *demand) surge(zone int) float64 {
	return (d.observed[zone] + priorRequests) / (d.baseline[zone] + priorRequests)
}

// classRequests returns the recent number of requests of a class. The prior in it makes the classes' demand appear
// equal while few requests have been reported.
func (d *demand) classRequests(class int) float64 { return d.byClass[class] + priorRequests }

// ratePerProxy returns the mean request rate of a zone's proxies, in requests per second.
func (d *demand) ratePerProxy(zone int) float64 {
	return d.rateByZone[zone] / math.Max(1, d.proxiesByZone[zone])
}

// update forecasts the demand of each zone: the sum of the ordinary rates of its joined proxies, multiplied by the
// zone's surge. The number of proxies of all controllers together is given by fleetProxies.
func (d *demand) update(proxies map[int]ProxyJoined, fleetProxies float64) {
	clear(d.proxiesByZone)
	clear(d.rateByZone)
	d.totalRate = 0
	sumOfSquares := 0.0
	for _, i := range slices.Sorted(maps.Keys(proxies)) {
		zone := proxies[i].Zone
		rate := proxies[i].Rate * d.surge(zone)
		d.rateByZone[zone] += rate
		d.totalRate += rate
		d.proxiesByZone[zone]++
		sumOfSquares += rate * rate
	}
	unevenness := float64(len(proxies)) / math.Max(1e-9, d.totalRate*d.totalRate) * sumOfSquares
	d.concentration = math.Max(1, unevenness) / fleetProxies
}
