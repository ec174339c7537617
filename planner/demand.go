package planner

// This file keeps how many requests come to the joined proxies, by zone and by request class.

import (
	"maps"
	"math"
	"slices"
)

const (
	// demandFade is what a sum of a proxy's requests leaves of the counts before it.
	demandFade = 0.97

	// priorRequests is the weight, in requests, of the belief that the zone's demand is ordinary, and that all classes
	// are in equal demand: so many must come before they count as much.
	priorRequests = 20.0
)

// demand is what is known of the requests that come to the joined proxies.
type demand struct {
	observed map[int]float64 // requests by the proxies' zone, fading
	baseline map[int]float64 // requests that these proxies ordinarily bring in the same time, fading
	byClass  map[int]float64 // requests by class, fading

	// As of the last round.
	rates         map[int]float64 // requests a second, by the proxies' zone
	total         float64         // requests a second
	proxiesOfZone map[int]float64

	// concentration is how unevenly the demand lies on the proxies of all controllers, as the Herfindahl index: one by
	// the number of proxies of equal rates that would spread requests as evenly as these.
	concentration float64
}

// newDemand returns a demand of which nothing is known.
func newDemand() demand {
	return demand{
		observed: map[int]float64{}, baseline: map[int]float64{}, byClass: map[int]float64{},
		rates: map[int]float64{}, proxiesOfZone: map[int]float64{},
	}
}

// observe takes in the requests of a class that came to a joined proxy. The proxy's ordinary rate is of all classes; a
// sum of one class counts as an even part of it.
func (d *demand) observe(sum RequestStats, proxy ProxyJoined, classes int) {
	requests := float64(sum.Requests)
	d.observed[proxy.Zone] = demandFade*d.observed[proxy.Zone] + requests
	d.byClass[sum.Class] = demandFade*d.byClass[sum.Class] + requests
	d.baseline[proxy.Zone] = demandFade*d.baseline[proxy.Zone] + proxy.Rate*sum.SpanMs/1000/float64(classes)
}

// surge returns how many times its ordinary demand has come to a zone lately.
func (d *demand) surge(zone int) float64 {
	return (d.observed[zone] + priorRequests) / (d.baseline[zone] + priorRequests)
}

// ofClass returns how many requests of a class came lately, drawn towards all classes alike.
func (d *demand) ofClass(class int) float64 { return d.byClass[class] + priorRequests }

// perProxy returns the mean requests a second of a zone's proxies.
func (d *demand) perProxy(zone int) float64 {
	return d.rates[zone] / math.Max(1, d.proxiesOfZone[zone])
}

// update forecasts the demand by zone: the joined proxies' ordinary rates, corrected by what came to the zone
// lately. The fleet is the number of proxies of all controllers.
func (d *demand) update(proxies map[int]ProxyJoined, fleet float64) {
	clear(d.proxiesOfZone)
	clear(d.rates)
	d.total = 0
	squares := 0.0
	for _, i := range slices.Sorted(maps.Keys(proxies)) {
		zone := proxies[i].Zone
		rate := proxies[i].Rate * d.surge(zone)
		d.rates[zone] += rate
		d.total += rate
		d.proxiesOfZone[zone]++
		squares += rate * rate
	}
	unevenness := float64(len(proxies)) / math.Max(1e-9, d.total*d.total) * squares
	d.concentration = math.Max(1, unevenness) / fleet
}
