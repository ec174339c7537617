// Package planner decides how plain proxies spread requests over endpoints. It is a pure state machine: events come
// in (events.go), commands go out (commands.go), and neither knows any wire. It does no I/O, reads no clock and
// starts no goroutine, so that the same code decides in the running pilot, in replay and in simulation.
//
// The algorithm is a variant of ACCO ("A Distributed Hybrid Load Management Model for Anycast CDNs"); docs/design.md
// says what of it was kept and what was changed.
package planner
