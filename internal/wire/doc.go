// Package wire is the framed protocol between pilots, proxies and the source of the endpoint list. It defines the
// frames, the messages and their encoding. It owns no connection, starts no goroutine and decides nothing;
// internal/transport and internal/testbed use it. docs/pilot.md describes the protocol.
//
// A frame is a header of nine bytes (length of the body, type, sequence number, all big-endian) and a body. Integers in
// a body are varints, fractions are eight bytes of IEEE 754, strings are a length and UTF-8. Each direction numbers its
// frames from 1 without a gap.
//
// Each message stands with its encoding and decoding in the file of its purpose: session.go, report.go, orders.go,
// slices.go, list.go and request.go.
package wire
