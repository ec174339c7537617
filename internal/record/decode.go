package record

import (
	"encoding/binary"
	"math"
)

// decoder takes turns apart; the first thing wrong stays in err.
type decoder struct {
	buf []byte
	err error
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = ErrTorn
	}
	d.buf = nil
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.buf)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.buf = d.buf[n:]
	return v
}

func (d *decoder) int() int {
	v, n := binary.Varint(d.buf)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.buf = d.buf[n:]
	return int(v)
}

func (d *decoder) fixed64() uint64 {
	if len(d.buf) < 8 {
		d.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(d.buf)
	d.buf = d.buf[8:]
	return v
}

func (d *decoder) number() float64 {
	v := d.int()
	if v&1 == 0 {
		return float64(v >> 1)
	}
	return math.Float64frombits(d.fixed64())
}

func (d *decoder) text() string {
	n := d.uint()
	if n > uint64(len(d.buf)) {
		d.fail()
		return ""
	}
	s := string(d.buf[:n])
	d.buf = d.buf[n:]
	return s
}
