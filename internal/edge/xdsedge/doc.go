// Package xdsedge is the transport for proxies that speak the published xDS protocols: ADS with LDS, CDS and EDS for
// assignments, LRS for load reports. A request class is a listener and a cluster of its name. Each line of a table is a
// locality of its own, as localities are what clients weigh and report load by. docs/grpc.md says what the mapping
// can't carry. It decides nothing about routing.
//
// An ADS stream has two goroutines: the handler answers and pushes, and another reads until the stream ends, which the
// handler's return brings about. An LRS stream has the handler only.
package xdsedge
