package wire

import (
	"encoding/binary"
	"math"
	"unicode/utf8"
)

// Limits on the content of a message body. A body that exceeds one is an error, which ends the stream.
const (
	MaxText  = 255   // largest length of a string, bytes
	MaxItems = 65535 // largest number of elements of a list
)

// floatBytes is the size of an encoded float64 in bytes.
const floatBytes = 8

// decoder decodes the body of a message from front to back. It keeps the first error in err. After an error its methods
// return zero values.
type decoder struct {
	b   []byte // part of the body that is not yet decoded
	err error
}

// fail records an error, unless there is one already, and discards the rest of the body.
func (d *decoder) fail(err error) {
	if d.err == nil {
		d.err = err
	}
	d.b = nil
}

// uvarint decodes an unsigned integer of up to 64 bits.
func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail(ErrTruncated)
		return 0
	}
	d.b = d.b[n:]
	return v
}

// varint decodes a signed integer. A value outside the range of 32 bits is an error.
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

// count decodes a signed integer of 32 bits. A negative value is an error.
func (d *decoder) count() int {
	v := d.varint()
	if v < 0 {
		d.fail(ErrValue)
		return 0
	}
	return v
}

// float decodes a non-negative floating-point number. NaN, infinities and negative values are errors.
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

// byte decodes a single byte.
func (d *decoder) byte() byte {
	if len(d.b) == 0 {
		d.fail(ErrTruncated)
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

// bool decodes a byte that is 0 or 1. Any other value is an error.
func (d *decoder) bool() bool {
	v := d.byte()
	if v > 1 {
		d.fail(ErrValue)
	}
	return v == 1
}

// text decodes a string of at most MaxText bytes. Invalid UTF-8 is an error.
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

// length decodes the length of a list. Each element takes at least one byte, so a length that exceeds the rest of the
// body is rejected before memory is allocated for the list.
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

// decodeList decodes a list whose elements are decoded by element. It returns nil for an empty list and after an error.
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
