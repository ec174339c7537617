package emulator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"indigousher/internal/testbed/eventlog"
)

// Parameters of the 64-bit FNV-1a hash, which is applied to 64-bit words instead of bytes.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// eventDigest is a hash of all events so far, in order. The zero value is the digest of no events. It covers the
// fields At, Req, N, Value, What, Who and Peer of each event.
type eventDigest struct{ hash uint64 }

// add mixes an event into the digest.
func (d *eventDigest) add(e *eventlog.Event) {
	if d.hash == 0 {
		d.hash = fnvOffset
	}
	d.mix(math.Float64bits(e.At))
	d.mix(e.Req)
	d.mix(uint64(e.N))
	d.mix(math.Float64bits(e.Value))
	d.mix(xxhash.Sum64String(string(e.What)))
	d.mix(xxhash.Sum64String(e.Who))
	d.mix(xxhash.Sum64String(e.Peer))
}

// mix applies one FNV-1a step to a 64-bit word.
func (d *eventDigest) mix(word uint64) { d.hash = (d.hash ^ word) * fnvPrime }
