package record

import (
	"encoding/binary"
	"math"
)

// largestCompact bounds the whole numbers that number encodes as a varint; any fits an int once it is doubled.
const compactLimit = 1 << 31

// encoder appends values to buf. Its methods pair with those of decoder.
type encoder struct{ buf []byte }

func (e *encoder) byte(v byte) {
	e.buf = append(e.buf, v)
}

func (e *encoder) uint(v uint64) {
	e.buf = binary.AppendUvarint(e.buf, v)
}

func (e *encoder) int(v int) {
	e.buf = binary.AppendVarint(e.buf, int64(v))
}

func (e *encoder) fixed64(v uint64) {
	e.buf = binary.LittleEndian.AppendUint64(e.buf, v)
}

func (e *encoder) text(s string) {
	e.uint(uint64(len(s)))
	e.buf = append(e.buf, s...)
}

// number appends a fraction. A small whole number, as most counts and many times are, takes one to five bytes: a varint
// of its double. Any other takes a varint of 1, which is odd, and its eight bytes.
func (e *encoder) number(v float64) {
	isNegativeZero := v == 0 && math.Signbit(v)
	if v == math.Trunc(v) && math.Abs(v) < compactLimit && !isNegativeZero {
		e.int(int(v) << 1)
		return
	}
	e.int(1)
	e.fixed64(math.Float64bits(v))
}
