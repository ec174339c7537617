// Package grpcedge is the edge where proxies follow over gRPC (proto/indigousher/v1). It keeps streams within their
// limits, versions what it sends, and lets a proxy that returns go on from what it holds. It decides nothing about
// routing; the runtime knows neither transport.
package grpcedge
