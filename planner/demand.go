package planner

// This file tracks how many requests come to the joined proxies, by zone and by request class.

import (
	"maps"
	"math"
	"slices"
)

const (
	// demandDecay is the factor by which older counts fade with each report of a proxy's requests.
	demandDecay = 0.97

	// priorRequests is the weight, in requests, of the prior assumption that a zone's demand is ordinary and that all
	// classes are in equal demand.
	priorRequests = 20.0
)

// demand is what is known of the requests that come to the joined proxies.
type demand struct {
	observed map[int]float64 // requests by the proxies' zone, fading
	baseline map[int]float64 // requests that these proxies ordinarily receive in the same time, fading
	byClass  map[int]float64 // requests by class, fading

	// As of the latest round.
	rates         map[int]float64 // requests a second, by the proxies' zone
	total         float64         // requests a second
	proxiesByZone map[int]float64

	// concentration is the Herfindahl index of the demand over the proxies of all controllers: the inverse of the
	// number of proxies with equal rates that would spread requests as evenly.
	concentration float64
}

// newDemand returns an empty demand.
func newDemand() demand {
	return demand{
		observed: map[int]float64{}, baseline: map[int]float64{}, byClass: map[int]float64{},
		rates: map[int]float64{}, proxiesByZone: map[int]float64{},
	}
}

// observe counts the requests of a class that came to a joined proxy. The proxy's ordinary rate covers all classes;
// each class is taken for an equal part of it.
func (d *demand) observe(stats RequestStats, proxy ProxyJoined, classes int) {
	requests := float64(stats.Requests)
	d.observed[proxy.Zone] = demandDecay*d.observed[proxy.Zone] + requests
	d.byClass[stats.Class] = demandDecay*d.byClass[stats.Class] + requests
	d.baseline[proxy.Zone] = demandDecay*d.baseline[proxy.Zone] + proxy.Rate*stats.SpanMs/1000/float64(classes)
}

// surge returns the recent demand of a zone as a multiple of its ordinary demand.
func (d *demand) surge(zone int) float64 {
	return (d.observed[zone] + priorRequests) / (d.baseline[zone] + priorRequests)
}

// classRequests returns how many requests of a class came recently, shrunk towards equal demand of all classes.
func (d *demand) classRequests(class int) float64 { return d.byClass[class] + priorRequests }

// ratePerProxy returns the mean requests a second of a zone's proxies.
func (d *demand) ratePerProxy(zone int) float64 {
	return d.rates[zone] / math.Max(1, d.proxiesByZone[zone])
}

// update forecasts the demand by zone: the joined proxies' ordinary rates, corrected by each zone's surge. The fleet
// is the number of proxies of all controllers.
func (d *demand) update(proxies map[int]ProxyJoined, fleetProxies float64) {
	clear(d.proxiesByZone)
	clear(d.rates)
	d.total = 0
	sumOfSquares := 0.0
	for _, i := range slices.Sorted(maps.Keys(proxies)) {
		zone := proxies[i].Zone
		rate := proxies[i].Rate * d.surge(zone)
		d.rates[zone] += rate
		d.total += rate
		d.proxiesByZone[zone]++
		sumOfSquares += rate * rate
	}
	unevenness := float64(len(proxies)) / math.Max(1e-9, d.total*d.total) * sumOfSquares
	d.concentration = math.Max(1, unevenness) / fleetProxies
}
