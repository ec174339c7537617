package wire

import (
	"encoding/binary"
	"math"
	"unicode/utf8"
)

// Limits on what a body holds. A peer that exceeds one has its stream closed.
const (
	MaxText  = 255   // bytes of a name, reason or other string
	MaxItems = 65535 // elements of a list in a message
)

// floatBytes is the size of an encoded float64.
const floatBytes = 8

// decoder consumes the body of a message. It keeps the first error; after it all methods return zero values.
type decoder struct {
	b   []byte // what is left of the body
	err error
}

// fail sets the error unless there is one, and drops the rest of the body.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.b = nil
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail(ErrTruncated)
		return 0
	}
	d.b = d.b[n:]
	return v
}

// varint decodes an integer of 32 bits.
func (d *decoder) varint() int {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.fail(ErrTruncated)
		return 0
	}
	if v > math.MaxInt32 || v < math.MinInt32 {
		d.fail(ErrValue)
		return 0
	}
	d.b = d.b[n:]
	return int(v)
}

// count decodes a non-negative integer of 32 bits.
func (d *decoder) count() int {
	v := d.varint()
	if v < 0 {
		d.fail(ErrValue)
		return 0
	}
	return v
}

// float decodes a fraction; NaN, infinities and negative values are errors.
func (d *decoder) float() float64 {
	if len(d.b) < floatBytes {
		d.fail(ErrTruncated)
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(d.b))
	d.b = d.b[floatBytes:]
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		d.fail(ErrValue)
		return 0
	}
	return v
}

func (d *decoder) byte() byte {
	if len(d.b) == 0 {
		d.fail(ErrTruncated)
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *decoder) bool() bool {
	v := d.byte()
	if v > 1 {
		d.fail(ErrValue)
	}
	return v == 1
}

// text decodes a string of valid UTF-8, MaxText bytes at most.
func (d *decoder) text() string {
	n := d.uvarint()
	if n > MaxText {
		d.fail(ErrValue)
		return ""
	}
	if uint64(len(d.b)) < n {
		d.fail(ErrTruncated)
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	if !utf8.ValidString(s) {
		d.fail(ErrValue)
		return ""
	}
	return s
}

// texts decodes a list of strings.
func (d *decoder) texts() []string { return decodeList(d, (*decoder).text) }

// length decodes the length of a list. Each element takes at least one byte, so a length beyond the rest of the body is
// rejected before anything is allocated for it.
func (d *decoder) length() int {
	n := d.uvarint()
	if n > MaxItems {
		d.fail(ErrValue)
		return 0
	}
	if n > uint64(len(d.b)) {
		d.fail(ErrTruncated)
		return 0
	}
	return int(n)
}

// decodeList decodes a list by its elements. It returns nil for an empty list and after an error.
func decodeList[T any](d *decoder, element func(*decoder) T) []T {
	var list []T
	for range d.length() {
		v := element(d)
		if d.err != nil {
			return nil
		}
		list = append(list, v)
	}
	return list
}
