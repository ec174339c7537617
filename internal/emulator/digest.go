package emulator

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"indigousher/internal/testbed/eventlog"
)

// eventDigest mixes what tells events apart.
type eventDigest struct{ hash uint64 }

func (d *eventDigest) add(e *eventlog.Event) {
	h := d.hash
	if h == 0 {
		h = 14695981039346656037
	}
	mix := func(v uint64) { h = (h ^ v) * 1099511628211 }
	mix(math.Float64bits(e.At))
	mix(e.Req)
	mix(uint64(e.N))
	mix(math.Float64bits(e.Value))
	mix(xxhash.Sum64String(string(e.What)))
	mix(xxhash.Sum64String(e.Who))
	mix(xxhash.Sum64String(e.Peer))
	d.hash = h
}
