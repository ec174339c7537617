package wire

import (
	"encoding/binary"
	"math"
)

// encoder appends encoded values to a buffer.
type encoder struct{ b []byte }

// uvarint encodes an unsigned integer.
func (e *encoder) uvarint(v uint64) { e.b = binary.AppendUvarint(e.b, v) }

// varint encodes a signed integer.
func (e *encoder) varint(v int) { e.b = binary.AppendVarint(e.b, int64(v)) }

// float encodes a floating-point number.
func (e *encoder) float(v float64) { e.b = binary.BigEndian.AppendUint64(e.b, math.Float64bits(v)) }

// byte encodes a single byte.
func (e *encoder) byte(v byte) { e.b = append(e.b, v) }

// bool encodes a boolean as a byte, 0 or 1.
func (e *encoder) bool(v bool) {
	if v {
		e.byte(1)
	} else {
		e.byte(0)
	}
}

// text encodes a string as its length in bytes and its content.
func (e *encoder) text(s string) {
	e.length(len(s))
	e.b = append(e.b, s...)
}

// texts encodes a list of strings.
func (e *encoder) texts(list []string) {
	e.length(len(list))
	for _, s := range list {
		e.text(s)
	}
}

// length encodes the length of a list, in elements, or of a string, in bytes.
func (e *encoder) length(n int) { e.uvarint(uint64(n)) }
