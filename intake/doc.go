// Package intake decides what becomes of the load reports that proxies send: which lines are kept, merged, sampled or
// refused, and what is passed on to the planner once a period.
//
// The package is pure: it is handed plain values with their times and returns plain values. It has no I/O, clock,
// goroutine or log, and the same calls give the same results. The controller calls it from the goroutines that read
// reports, under a lock of its own, ahead of its loop. docs/intake.md gives the reasons and the measurements.
//
// Figures are summed by endpoint and zone, and requests by proxy and request class, so the memory held is bounded by
// what is listed and joined, never by what arrives. Beside the sums each zone keeps the time that its proxies' reports
// covered: attempts over covered time is the rate, whatever part of the reports was lost, sampled out or late. Both
// sides of that quotient are weighed by age (see decay).
//
// Times are milliseconds on the caller's clock unless a name says otherwise; endpoints, zones, proxies and request
// classes are the small integers that the planner uses.
package intake
