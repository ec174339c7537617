// Package planner decides how proxies distribute requests over endpoints. It is a pure state machine: events are its
// input (events.go) and commands its output (commands.go), and neither depends on a wire protocol. It performs no I/O,
// reads no clock and starts no goroutine, so the same code runs in the pilot, in replay and in simulation.
//
// Proxies route requests by tables. A line of a table is one endpoint's weight. Before a pilot assigns tables to a
// proxy, the proxy uses the static table that it started with. Commands reach the proxies over a rate-limited channel,
// whose capacity is counted in lines.
//
// The algorithm is a variant of ACCO ("A Distributed Hybrid Load Management Model for Anycast CDNs"); docs/design.md
// lists the differences from the published version.
package planner
