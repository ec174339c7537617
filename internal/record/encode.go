package record

import (
	"encoding/binary"
	"math"
)

type encoder struct{ b []byte }

func (e *encoder) uint(v uint64) { e.b = binary.AppendUvarint(e.b, v) }

func (e *encoder) int(v int) { e.b = binary.AppendVarint(e.b, int64(v)) }

func (e *encoder) text(s string) { e.uint(uint64(len(s))); e.b = append(e.b, s...) }

func (e *encoder) wide(v float64) { e.b = binary.LittleEndian.AppendUint64(e.b, math.Float64bits(v)) }

// num lays out a fraction, in one to five bytes if it is a small whole number, as most counts and many times are.
func (e *encoder) num(v float64) {
	if v == math.Trunc(v) && math.Abs(v) < 1<<31 && !(v == 0 && math.Signbit(v)) {
		e.int(int(v) << 1)
		return
	}
	e.int(1)
	e.wide(v)
}
