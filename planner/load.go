package planner

// This file estimates an endpoint's load from its load reports. Where no utilization is reported, the load follows from
// the queue or, by Little's law, from the requests in flight. Reports also show how fast an endpoint is.

import "math"

// Names of values in a load report; that of the utilization is in settings.go.
const (
	reportFieldRate     = "rate"    // requests a second that were served
	reportFieldQueue    = "waiting" // requests that wait
	reportFieldInFlight = "in_hand" // requests that wait or are being processed
)

const (
	// latestReportGain is the weight of the latest report against the mean of those before.
	latestReportGain = 0.7

	// queueLengthPerLoad is the queue length, in requests, that adds 1 to the load.
	queueLengthPerLoad = 10.0

	// residenceGain is the weight of the latest residence time against the mean of those before.
	residenceGain = 0.25

	// intervalGain is the weight of the latest time between two reports against the mean of those before.
	intervalGain = 0.25

	// unknownLoad is the load of an endpoint without a report.
	unknownLoad = -1.0
)

// The speed of an endpoint: requests a second at full load for each unit of its listed weight.
const (
	minLoadForSpeed    = 0.15 // below this load, the ratio of rate and load is too noisy
	minWeightForSpeed  = 1e-3 // lower bound of the listed weight in the ratio
	minSpeedCorrection = 0.4  // bounds of the factor on the listed weight
	maxSpeedCorrection = 2.5
	priorSpeedReports  = 2.0 // weight, in reports, of the prior assumption that the listed weight is right
	minSpeedReports    = 8   // reports after which controllers take turns with health checks
	maxSpeedReports    = 24  // reports in an endpoint's histogram before its counts are halved
)

// loadEstimate is an endpoint's load as estimated from its reports.
type loadEstimate struct {
	value     float64 // fraction of the capacity in use, mean of recent reports; unknownLoad before the first
	updatedAt float64 // ms, arrival of the latest report
	interval  float64 // mean ms between recent reports

	// Time that a request spends at the endpoint, in seconds; 0: unknown.
	residenceTime    float64 // mean of recent reports
	minResidenceTime float64 // lowest mean so far, taken for that of an idle endpoint

	speeds histogram
}

// newLoadEstimate returns the estimate before the first report.
func newLoadEstimate() loadEstimate {
	estimate := loadEstimate{}
	estimate.reset()
	return estimate
}

// reset forgets the load of a former incarnation. Speed, best residence time and report interval are kept.
func (l *loadEstimate) reset() {
	l.value = unknownLoad
	l.updatedAt = -staleMs
	l.residenceTime = 0
}

// age returns the time since the latest report, in ms.
func (l *loadEstimate) age(now float64) float64 { return now - l.updatedAt }

// isFresh returns whether the estimate is recent enough to stand for the present load.
func (l *loadEstimate) isFresh(now float64) bool { return l.age(now) < staleMs && l.value >= 0 }

// fromReport returns the load that a report shows, if any: the utilization, or what follows from a queue or from the
// requests in flight.
func (l *loadEstimate) fromReport(report Load) (load float64, known bool) {
	if utilization, has := report[reportFieldUtilization]; has {
		return utilization, true
	}
	if queue, has := report[reportFieldQueue]; has {
		return loadFromQueue(queue), true
	}
	inFlight := report[reportFieldInFlight]
	rate := report[reportFieldRate]
	if inFlight > 0 && rate > 0 {
		return l.loadFromResidenceTime(inFlight / rate), true
	}
	return 0, false
}

// loadFromQueue returns the load rho at which a single server has a mean queue of that length (M/M/1: q = rho^2/(1-rho)),
// plus a term that grows with the queue, since rho stays below 1.
func loadFromQueue(queue float64) float64 {
	return (math.Sqrt(queue*queue+4*queue)-queue)/2 + queue/queueLengthPerLoad
}

// loadFromResidenceTime returns the load that a residence time shows: the fraction of the mean residence time that exceeds
// the best so far. By Little's law it is the requests in flight divided by their rate. The number in flight alone
// shows nothing, since an endpoint's parallelism is unknown.
func (l *loadEstimate) loadFromResidenceTime(seconds float64) float64 {
	gain := 1.0
	if l.residenceTime > 0 {
		gain = residenceGain
	}
	l.residenceTime += (seconds - l.residenceTime) * gain
	best := l.residenceTime
	if l.minResidenceTime > 0 {
		best = l.minResidenceTime
	}
	l.minResidenceTime = math.Min(l.residenceTime, best)
	return 1 - l.minResidenceTime/l.residenceTime
}

// add updates the estimate with the load of a report. After a long gap the mean of earlier reports is obsolete.
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

// recordSpeed adds the speed that a report shows to the endpoint's and the fleet's histograms.
func (e *endpoint) recordSpeed(report Load) {
	load, known := report[reportFieldUtilization]
	rate := report[reportFieldRate]
	if known && load > minLoadForSpeed && rate > 0 {
		speed := rate / load / math.Max(e.Weight, minWeightForSpeed)
		fleet := e.planner
		e.load.speeds.add(speed, maxSpeedReports)
		fleet.load.speeds.add(speed, maxSpeedReports*float64(len(fleet.endpoints)))
	}
}

// fleetLoad sums up the load reports of all endpoints.
type fleetLoad struct {
	mean   float64 // of the fresh loads, as of the latest round
	speeds histogram
}

// update computes the mean load. Half the target load counts as one further endpoint's and stands in where no load is
// fresh.
func (f *fleetLoad) update(endpoints []*endpoint, targetLoad, now float64) {
	f.mean = targetLoad / 2
	for _, e := range endpoints {
		if e.load.updatedAt > now-staleMs {
			f.mean += (e.load.value - f.mean) / float64(len(endpoints)+1)
		}
	}
}
