package planner

// This file estimates the load of endpoints from their load reports. If a report contains no utilization, the load is
// estimated from the queue length or, by Little's law, from the requests in flight. The reports also show the speed of
// an endpoint.

import "math"

// Names of the values in a load report. The name of the utilization is reportFieldUtilization.
const (
	reportFieldRate     = "rate"    // requests served per second
	reportFieldQueue    = "waiting" // requests in the queue
	reportFieldInFlight = "in_hand" // requests in the queue or being processed
)

const (
	// latestReportGain is the weight of the latest load in the moving average of reported loads.
	latestReportGain = 0.7

	// queueLengthPerLoad is the queue length, in requests, that adds 1 to the estimated load.
	queueLengthPerLoad = 10.0

	// residenceGain is the weight of the latest residence time in the moving average.
	residenceGain = 0.25

	// intervalGain is the weight of the latest time between two reports in the moving average.
	intervalGain = 0.25

	// unknownLoad is the value of the load while an endpoint has not reported any.
	unknownLoad = -1.0
)

// Constants of the speed estimate. The speed of an endpoint is the number of requests per second that it serves at full
// load, divided by its listed weight.
const (
	minLoadForSpeed    = 0.15 // the ratio of rate to load is too noisy below this load
	minWeightForSpeed  = 1e-3 // lower bound of the listed weight as a divisor
	minSpeedCorrection = 0.4  // bounds of the factor applied to the listed weight
	maxSpeedCorrection = 2.5
	priorSpeedReports  = 2.0 // weight, in reports, of the prior assumption that the listed weight is right
	minSpeedReports    = 8   // count of reports from which the controllers share the health checks
	maxSpeedReports    = 24  // count of reports in an endpoint's histogram at which its counts are halved
)

// loadEstimate is the load of an endpoint, estimated from its load reports.
type loadEstimate struct {
	value     float64 // moving average of the used fraction of the capacity; unknownLoad before the first report
	updatedAt float64 // ms, when the latest report arrived
	interval  float64 // ms, moving average of the time between reports

	// Time that a request spends at the endpoint, queued or being processed, in seconds; 0 if unknown.
	residenceTime    float64 // moving average of the residence time
	minResidenceTime float64 // lowest moving average so far, assumed to be that of an idle endpoint

	speeds histogram
}

// newLoadEstimate returns the estimate before the first report.
func newLoadEstimate() loadEstimate {
	estimate := loadEstimate{}
	estimate.reset()
	return estimate
}

// reset discards the load of an endpoint whose process has restarted. Speed, lowest residence time and report interval
// are kept.
func (l *loadEstimate) reset() {
	l.value = unknownLoad
	l.updatedAt = -staleMs
	l.residenceTime = 0
}

// age returns the time since the latest report, in ms.
func (l *loadEstimate) age(now float64) float64 { return now - l.updatedAt }

// isFresh returns whether the load is known and recent enough to be used as the present load.
func (l *loadEstimate) isFresh(now float64) bool { return l.age(now) < staleMs && l.value >= 0 }

// fromReport returns the load that a report shows: the utilization or, if it is missing, an estimate from the queue
// length or from the requests in flight. Known is false if the report contains none of these.
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

// loadFromQueue returns the load rho at which a single server has the given mean queue length, in requests (M/M/1: q =
// rho^2/(1-rho)), plus a term proportional to the queue length, since rho alone stays below 1.
func loadFromQueue(queue float64) float64 {
	return (math.Sqrt(queue*queue+4*queue)-queue)/2 + queue/queueLengthPerLoad
}

// loadFromResidenceTime updates the average residence time and returns the load that it shows: the fraction of the
// average that exceeds the lowest average so far. By Little's law, the residence time is the number of requests in
// flight divided by the request rate. The requests in flight alone do not show the load, since the parallelism of an
// endpoint is unknown.
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

// add updates the estimate with the load of a report. After a gap of more than staleMs, the average of earlier reports
// is discarded.
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

// recordSpeed adds the speed that a report shows to the endpoint's and the fleet's histograms. Reports without a
// utilization or a rate, or with too low a load, are ignored.
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

// fleetLoad aggregates the load reports of all endpoints.
type fleetLoad struct {
	mean   float64 // mean load of the endpoints with recent reports, computed once per control round
	speeds histogram
}

// update computes the mean load of the endpoints with recent reports, as a moving average that starts at half the
// target load. Without recent reports, the result is half the target load.
func (f *fleetLoad) update(endpoints []*endpoint, targetLoad, now float64) {
	f.mean = targetLoad / 2
	for _, e := range endpoints {
		if e.load.updatedAt > now-staleMs {
			f.mean += (e.load.value - f.mean) / float64(len(endpoints)+1)
		}
	}
}
