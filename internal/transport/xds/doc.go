// Package xds is the transport for proxies that use the xDS protocols: ADS with LDS, CDS and EDS for assignments,
// and LRS for load reports. Each request class is a listener and a cluster of the same name. Each endpoint of a table
// is a locality of its own, since clients weight localities and report load by locality. docs/grpc.md lists what the
// mapping can't represent. The package makes no routing decisions.
//
// An ADS stream has two goroutines: the handler sends responses, and another one reads requests until the stream ends,
// at the latest when the handler returns. An LRS stream only has its handler.
package xds
