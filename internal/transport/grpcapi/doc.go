// Package grpcapi is the transport for proxies that use gRPC (proto/indigousher/v1). It converts between protobuf
// messages and the types of internal/wire, limits streams and messages, assigns version numbers to assignments and
// tracks their acknowledgements. It makes no routing decisions.
//
// Each stream has two goroutines: the gRPC handler writes, and a second goroutine reads until the stream ends, which is
// the case at the latest when the handler returns.
package grpcapi
