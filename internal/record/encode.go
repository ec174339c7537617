package record

import (
	"encoding/binary"
	"math"
)

// compactLimit is the magnitude below which encoder.number writes a whole number as a varint of twice its value, which
// must fit an int.
const compactLimit = 1 << 31

// encoder appends encoded values to buf. For each of its methods decoder has one that reads the value.
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

// number encodes a float64. A whole number below compactLimit, as most counts and many times are, is encoded as a
// varint of twice its value, in one to five bytes. Any other value is encoded as the varint 1, which is odd, and its
// eight bytes.
func (e *encoder) number(v float64) {
	isNegativeZero := v == 0 && math.Signbit(v)
	if v == math.Trunc(v) && math.Abs(v) < compactLimit && !isNegativeZero {
		e.int(int(v) << 1)
		return
	}
	e.int(1)
	e.fixed64(math.Float64bits(v))
}
