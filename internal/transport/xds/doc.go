// Package xds is the transport for proxies that use the xDS protocols: ADS with LDS, CDS and EDS for assignments,
// and LRS for load reports. Each request class is a listener and a cluster of the same name. Each endpoint of a table
// is a separate locality, because clients apply weights and report load per locality. docs/grpc.md lists what this
// mapping cannot represent. The package makes no routing decisions.
//
// An ADS stream has two goroutines: the gRPC handler sends responses, and a second goroutine reads requests until the
// stream ends, which is the case at the latest when the handler returns. An LRS stream has only the handler's
// goroutine.
package xds
