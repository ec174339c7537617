// Package framed is the transport for proxies that use the project's own framed protocol (internal/wire). It accepts
// streams, performs the handshake, enforces heartbeats and deadlines, and posts what arrives to the controller. It
// makes no routing decisions. An error on one stream ends that stream only.
//
// Each stream has two goroutines, a reader and a writer. The reader waits for the writer before it reports to the
// controller that the proxy has left, and Serve waits for all readers.
package framed
