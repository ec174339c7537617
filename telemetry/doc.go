// Package telemetry aggregates the load reports of proxies. It merges, samples or rejects the lines of each report, and
// returns the accumulated sums for the planner once per period.
//
// The package is deterministic: it performs no I/O, reads no clock, starts no goroutine and writes no log, and the same
// calls return the same results. The controller calls it from the goroutines that read reports, under a mutex that is
// independent of the control loop. docs/intake.md describes the design and the measurements.
//
// Attempts are summed by endpoint and zone, and requests by proxy and request class. Memory is therefore bounded by the
// number of listed endpoints and joined proxies, not by the number of reports. Each zone also sums the time that the
// reports of its proxies covered. The rate is the number of attempts divided by the covered time, which stays correct
// when reports are lost, sampled out or late. Both sums are weighted by age (see decay).
//
// Times are milliseconds on the caller's clock unless stated otherwise. Endpoints, zones, proxies and request classes
// are identified by the small integer indices that the planner uses.
package telemetry
