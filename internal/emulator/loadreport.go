package emulator

import (
	"math"

	"indigousher/internal/wire"
)

// Names of the metrics in an endpoint's load report.
const (
	figureUtilization = "util"    // busy fraction of the cores
	figureRate        = "rate"    // requests per second
	figureWaiting     = "waiting" // requests in flight beyond the number of cores
	figureInFlight    = "in_hand" // requests in flight
)

// scheduleLoadReport measures a process's load every ReportEvery until the process ends. With a ReportLag, answers
// carry the previous measurement instead of the latest one.
func (e *emulatedEndpoint) scheduleLoadReport(process *endpointProcess) {
	e.w.After(milliseconds(e.ReportEvery), func() {
		if e.process != process {
			return
		}
		report := e.measureLoad(process)
		if e.ReportLag > 0 {
			process.load = process.nextLoad
			process.nextLoad = report
		} else {
			process.load = report
		}
		e.scheduleLoadReport(process)
	})
}

// measureLoad returns the load since the last report. Utilization and rate, which are averages over the interval,
// have random noise added.
func (e *emulatedEndpoint) measureLoad(process *endpointProcess) []wire.LoadMetric {
	if e.sharesCores {
		e.countSharedWork(process)
	}
	everyMs := milliseconds(e.ReportEvery)
	utilization := math.Min(1, (process.busyMs-process.reportedBusyMs)/everyMs/float64(e.Cores)) * e.noise()
	rate := (process.served - process.reportedServed) / everyMs * 1000 * e.noise()
	process.reportedBusyMs = process.busyMs
	process.reportedServed = process.served
	return []wire.LoadMetric{
		{Name: figureUtilization, Value: utilization},
		{Name: figureRate, Value: rate},
		{Name: figureWaiting, Value: float64(max(0, process.inFlight-e.Cores))},
		{Name: figureInFlight, Value: float64(process.inFlight)},
	}
}

// noise returns a random factor with mean 1 and standard deviation ReportNoise, but not below 0.
func (e *emulatedEndpoint) noise() float64 {
	return math.Max(0, 1+e.ReportNoise*e.random.NormFloat64())
}
