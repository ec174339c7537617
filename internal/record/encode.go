package record

import (
	"encoding/binary"
	"math"
)

type encoder struct{ buf []byte }

func (e *encoder) uint(v uint64) { e.buf = binary.AppendUvarint(e.buf, v) }

func (e *encoder) int(v int) { e.buf = binary.AppendVarint(e.buf, int64(v)) }

func (e *encoder) text(s string) { e.uint(uint64(len(s))); e.buf = append(e.buf, s...) }

func (e *encoder) fixed64(v float64) {
	e.buf = binary.LittleEndian.AppendUint64(e.buf, math.Float64bits(v))
}

// number lays out a fraction, in one to five bytes if it is a small whole number, as most counts and many times are.
func (e *encoder) number(v float64) {
	if v == math.Trunc(v) && math.Abs(v) < 1<<31 && !(v == 0 && math.Signbit(v)) {
		e.int(int(v) << 1)
		return
	}
	e.int(1)
	e.fixed64(v)
}
