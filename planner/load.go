package planner

// This file estimates an endpoint's load from its load reports: smoothing and ageing, a load from a queue or, by
// Little's law, from the requests in flight where no utilization is reported, and the speed that reports show.

import "math"

// Names of the values of a load report that are looked at; that of the utilization is in settings.go.
const (
	reportFieldRate     = "rate"    // requests a second that were served
	reportFieldQueue    = "waiting" // requests that wait
	reportFieldInFlight = "in_hand" // requests that wait or are worked on
)

const (
	// latestReportGain is the weight of the latest report against the mean of those before.
	latestReportGain = 0.7

	// fullQueue is the queue, in requests, that counts as much as a whole load on top of a full one.
	fullQueue = 10.0

	// residenceGain is the weight of the latest residence time against the mean of those before.
	residenceGain = 0.25

	// intervalGain is the weight of the latest time between two reports against the mean of those before.
	intervalGain = 0.25

	// noLoad stands for the load of an endpoint that has sent no report.
	noLoad = -1.0
)

// The speed of an endpoint: requests a second at full load for each unit of its listed weight.
const (
	minSpeedLoad       = 0.15 // below it rate and load are too small to be held against each other
	minSpeedWeight     = 1e-3 // listed weights count as this at least
	minSpeedCorrection = 0.4  // of a listed weight
	maxSpeedCorrection = 2.5
	priorSpeeds        = 2.0 // reports that weigh as much as the belief in the listed weight
	enoughSpeeds       = 8   // reports after which controllers take turns at looking
	speedsOfEndpoint   = 24  // reports that the histogram of an endpoint holds before it is halved
)

// loadEstimate is what the load reports of an endpoint come to.
type loadEstimate struct {
	value     float64 // load in parts of what the endpoint can do, mean of the last reports; noLoad before the first
	updatedAt float64 // ms, when the last report came
	interval  float64 // ms between reports, mean of the last

	// Time that a request spends at the endpoint, in seconds; 0: unknown.
	residence     float64 // mean of the last
	bestResidence float64 // lowest mean so far, as when nothing waits

	speeds histogram
}

// newLoadEstimate returns the estimate of an endpoint that has sent no report.
func newLoadEstimate() loadEstimate {
	estimate := loadEstimate{}
	estimate.reset()
	return estimate
}

// reset forgets the load of an incarnation that is gone. The next one is as fast and reports as often.
func (l *loadEstimate) reset() {
	l.value = noLoad
	l.updatedAt = -staleMs
	l.residence = 0
}

// age returns how long ago the last report came, in ms.
func (l *loadEstimate) age(now float64) float64 { return now - l.updatedAt }

// isFresh returns whether the estimate stands for the present load.
func (l *loadEstimate) isFresh(now float64) bool { return l.age(now) < staleMs && l.value >= 0 }

// fromReport returns the load that a report shows, if any: the utilization, or what follows from a queue or from the
// requests in flight.
func (l *loadEstimate) fromReport(report Load) (load float64, known bool) {
	if utilization, has := report[reportFieldUtilization]; has {
		return utilization, true
	}
	if queue, has := report[reportFieldQueue]; has {
		return loadOfQueue(queue), true
	}
	inFlight := report[reportFieldInFlight]
	rate := report[reportFieldRate]
	if inFlight > 0 && rate > 0 {
		return l.loadOfResidence(inFlight / rate), true
	}
	return 0, false
}

// loadOfQueue returns the load at which a single server's queue would be as long on average (M/M/1: q = rho^2/(1-rho)),
// and more for a long queue, as that load never reaches 1.
func loadOfQueue(queue float64) float64 {
	return (math.Sqrt(queue*queue+4*queue)-queue)/2 + queue/fullQueue
}

// loadOfResidence returns the load that a residence time shows, by Little's law the requests in flight divided by their
// rate: by which part the mean lies above the best so far. The number in flight says nothing of an endpoint whose
// parallelism is unknown; how long they stay does.
func (l *loadEstimate) loadOfResidence(seconds float64) float64 {
	gain := 1.0
	if l.residence > 0 {
		gain = residenceGain
	}
	l.residence += (seconds - l.residence) * gain
	best := l.residence
	if l.bestResidence > 0 {
		best = l.bestResidence
	}
	l.bestResidence = math.Min(l.residence, best)
	return 1 - l.bestResidence/l.residence
}

// add takes in the load of a report. After a silence the mean of those before is out of date.
func (l *loadEstimate) add(load, now float64) {
	gap := l.age(now)
	if gap < staleMs {
		l.interval += (gap - l.interval) * intervalGain
	}
	gain := latestReportGain
	if l.value < 0 || gap > staleMs {
		gain = 1
	}
	l.value += (load - l.value) * gain
	l.updatedAt = now
}

// countSpeed counts the speed that a report shows, for the endpoint and for the fleet.
func (e *endpoint) countSpeed(report Load) {
	load, known := report[reportFieldUtilization]
	rate := report[reportFieldRate]
	if known && load > minSpeedLoad && rate > 0 {
		speed := rate / load / math.Max(e.Weight, minSpeedWeight)
		fleet := e.planner
		e.load.speeds.add(speed, speedsOfEndpoint)
		fleet.load.speeds.add(speed, speedsOfEndpoint*float64(len(fleet.endpoints)))
	}
}

// fleetLoad is what the load reports of all endpoints come to.
type fleetLoad struct {
	mean   float64 // of the recently reported loads, as of the last round
	speeds histogram
}

// update takes the mean load anew. Half the target load counts as one endpoint's, and stands where none is reported.
func (f *fleetLoad) update(endpoints []*endpoint, targetLoad, now float64) {
	f.mean = targetLoad / 2
	for _, e := range endpoints {
		if e.load.updatedAt > now-staleMs {
			f.mean += (e.load.value - f.mean) / float64(len(endpoints)+1)
		}
	}
}
