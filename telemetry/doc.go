// Package telemetry aggregates the load reports of proxies: it merges, samples or rejects their lines, and once a
// period it flushes what has accumulated to the planner.
//
// The package is pure: it takes plain values with their times and returns plain values. It has no I/O, clock,
// goroutine or log, and the same calls give the same results. The controller calls it from the goroutines that read
// reports, under a lock of its own, ahead of its loop. docs/intake.md gives the reasons and the measurements.
//
// Attempts are summed by endpoint and zone, and requests by proxy and request class, so memory is bounded by the
// number of listed endpoints and joined proxies, never by the number of reports. Each zone also keeps the time that
// its proxies' reports covered: attempts divided by covered time is the rate, no matter how many reports were lost,
// sampled out or late. Both sides of that quotient are weighted by age (see decay).
//
// Times are milliseconds on the caller's clock unless a name says otherwise; endpoints, zones, proxies and request
// classes are the small integers that the planner uses.
package telemetry
