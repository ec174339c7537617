// Package wire implements the framed protocol between pilots, proxies and the source of the endpoint list. It defines
// the frames, the messages and their encoding. It opens no connections and starts no goroutines; internal/transport and
// internal/testbed build the protocol sessions on it. docs/pilot.md describes the protocol.
//
// A frame consists of a header of nine bytes and a body. The header contains the length of the body in bytes (4 bytes),
// the message type (1 byte) and the sequence number (4 bytes), all big-endian. In a body, integers are varints,
// floating-point numbers are eight bytes in IEEE 754 format, and strings are a length followed by UTF-8. Frames are
// numbered consecutively from 1 in each direction.
//
// Messages are grouped into files by purpose, each next to its encoding and decoding: session.go, report.go, orders.go,
// slices.go, list.go and request.go.
package wire
