package intake

import (
	"hash/crc32"
	"math"
	"slices"
)

// candidate is a line that may be kept, with what its figures are to be multiplied by.
type candidate struct {
	line     int
	rank     float64
	scale    float64
	foremost bool
}

// sample returns the lines to keep: all that fit; else those of endpoints that fail, are cold or drain, and of the
// others a priority sample by tries, whose scaled figures are true on average.
func (a *Intake[L]) sample(nowMs float64, r *Report[L], room int) []candidate {
	a.candidates = a.candidates[:0]
	room = max(room, 1)
	if len(r.Lines) <= room {
		for i := range r.Lines {
			a.candidates = append(a.candidates, candidate{line: i, scale: 1})
		}
		return a.candidates
	}
	foremost := 0
	for i := range r.Lines {
		l := &r.Lines[i]
		k := candidate{line: i, scale: 1}
		if e := a.endpoints[l.Endpoint]; e != nil {
			k.foremost = e.draining || l.Failed > 0 && float64(l.Failed) > failingFraction*float64(l.Tries) ||
				e.startedMs != 0 && nowMs-e.startedMs < a.terms.ColdMs
		}
		if k.foremost = k.foremost && foremost < room-1; k.foremost {
			foremost++
			k.rank = math.Inf(1)
		} else {
			k.rank = math.Max(float64(l.Tries), 0.5) / uniform(r.Sender, r.Seq, l.Endpoint)
		}
		a.candidates = append(a.candidates, k)
	}
	slices.SortFunc(a.candidates, func(a, b candidate) int {
		switch {
		case a.rank > b.rank:
			return -1
		case a.rank < b.rank:
			return 1
		}
		return a.line - b.line
	})
	threshold := a.candidates[room].rank
	for i := range a.candidates[:room] {
		k := &a.candidates[i]
		if tries := float64(r.Lines[k.line].Tries); !k.foremost && tries > 0 {
			k.scale = math.Max(tries, threshold) / tries
		}
	}
	return a.candidates[:room]
}

// uniform is a number in (0, 1] that the same line always gets. A checksum is linear: lines that differ in the same bits
// would differ by the same pattern in every report, so its bits are stirred.
func uniform(sender int, seq uint64, endpoint int) float64 {
	var b [20]byte
	for i := range 8 {
		b[i], b[8+i] = byte(sender>>(8*i)), byte(seq>>(8*i))
	}
	for i := range 4 {
		b[16+i] = byte(endpoint >> (8 * i))
	}
	x := crc32.ChecksumIEEE(b[:])
	x = (x ^ x>>16) * 0x7feb352d
	x = (x ^ x>>15) * 0x846ca68b
	return (float64(x^x>>16) + 1) / (1 << 32)
}
