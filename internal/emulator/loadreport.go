package emulator

import (
	"math"

	"indigousher/internal/wire"
)

// Names of the figures in a load report, as endpoints spell them.
const (
	figureUtilization = "util"    // busy fraction of the cores
	figureRate        = "rate"    // requests a second
	figureWaiting     = "waiting" // requests beyond the cores
	figureInFlight    = "in_hand" // requests
)

// scheduleLoadReport renews a process's load report from time to time, until the process ends. What it shows is as old
// as the lag.
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

// measureLoad returns the load since the last report, with noise on what is measured over time.
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

// noise draws a factor around 1.
func (e *emulatedEndpoint) noise() float64 {
	return math.Max(0, 1+e.ReportNoise*e.random.NormFloat64())
}
