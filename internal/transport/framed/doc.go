// Package framed is the transport for proxies that use the project's own framed protocol (internal/wire). It accepts
// streams, performs the handshake, enforces heartbeats and timeouts, and posts received messages to the inbox of the
// pilot's control loop (internal/controller). It makes no routing decisions. An error on one stream ends only that
// stream.
//
// Each stream has two goroutines, a reader and a writer. When the stream ends, the reader waits for the writer and then
// posts controller.ProxyLeft. Server.Serve waits for all readers.
package framed
