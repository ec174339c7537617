package emulator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"indigousher/internal/testbed/eventlog"
)

// Parameters of the 64-bit FNV-1a hash, here applied to 64-bit words.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// eventDigest is a hash of the events so far, in their order, by the fields that tell events apart.
type eventDigest struct{ hash uint64 }

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

func (d *eventDigest) mix(word uint64) { d.hash = (d.hash ^ word) * fnvPrime }
