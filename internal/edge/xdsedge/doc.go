// Package xdsedge is the edge for proxies that speak the published xDS protocols: ADS with LDS, CDS and EDS for
// assignments, LRS for load reports. A req kind is a listener and a cluster of its name. Each line of a table is a
// locality of its own, as localities are what clients weigh and report load by. docs/grpc.md says what the mapping
// can't carry. It decides nothing about routing.
package xdsedge
