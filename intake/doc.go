// Package intake decides what becomes of the reports that proxies send: what is kept, merged, sampled, aged or
// refused, and what is passed on to the module each period. It is handed plain values with their times and returns
// plain values; it has no I/O, clock, goroutine or log, and the same calls give the same results. The runtime calls it
// as reports arrive, before its loop. docs/intake.md has the reasons.
//
// Sums are merged by endpoint and zone, and by proxy and req kind, so what is held is bounded by what is listed and
// joined, never by what arrives. Beside each sum stands the time that the zone's reports covered meanwhile: their
// quotient is the rate, whatever was lost, sampled out or late. Both are weighed by age.
package intake
