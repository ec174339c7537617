// Package grpcapi is the transport for proxies that use gRPC (proto/indigousher/v1). It enforces the limits of streams
// and numbers the versions of assignments. It makes no routing decisions.
//
// Each stream has two goroutines: the handler writes, and another one reads until the stream ends, at the latest when
// the handler returns.
package grpcapi
