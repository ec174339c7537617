package record

import (
	"encoding/binary"
	"math"
)

// decoder reads values from the front of buf. After the first error, which is kept in err, buf is empty and all further
// values are zero, so err only needs to be checked before a value is used.
type decoder struct {
	buf []byte
	err error
}

// fail records ErrCorrupt, unless an error is recorded already, and empties buf.
func (d *decoder) fail() {
	if d.err == nil {
		d.err = ErrCorrupt
	}
	d.buf = nil
}

func (d *decoder) byte() byte {
	if len(d.buf) == 0 {
		d.fail()
		return 0
	}
	v := d.buf[0]
	d.buf = d.buf[1:]
	return v
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
	const size = 8 // bytes
	if len(d.buf) < size {
		d.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(d.buf)
	d.buf = d.buf[size:]
	return v
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

// number decodes a float64 that encoder.number wrote: an even varint is twice a whole number, an odd varint is followed
// by the eight bytes of any other value.
func (d *decoder) number() float64 {
	v := d.int()
	if v&1 == 0 {
		return float64(v >> 1)
	}
	return math.Float64frombits(d.fixed64())
}

// items decodes the number of items that follow. Each item takes at least one byte, so a number greater than the
// remaining bytes is an error, which keeps a damaged number from causing a large allocation.
func (d *decoder) items() uint64 {
	n := d.uint()
	if n > uint64(len(d.buf)) {
		d.fail()
		return 0
	}
	return n
}
