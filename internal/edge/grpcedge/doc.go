// Package grpcedge is the transport where proxies follow over gRPC (proto/indigousher/v1). It keeps streams within
// their limits, and versions what it sends. It decides nothing about routing, and the controller knows no transport.
//
// Each stream has two goroutines: the handler writes, and another reads until the stream ends, which the handler's
// return brings about.
package grpcedge
