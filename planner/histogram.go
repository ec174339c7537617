package planner

// This file implements a coarse histogram of positive values whose counts decay.

import "math"

const (
	histogramBins   = 24
	binsPerOctave   = 2.0  // adjacent bins differ by a factor of sqrt(2)
	binOfValueOne   = 8    // index of the bin of the value 1
	minBinnedValue  = 1e-9 // smaller values count as this, since zero has no logarithm
	minCountForMean = 2    // total count below which no mean is computed
)

// histogram counts values in logarithmic bins of half an octave. All counts are halved whenever their total exceeds a
// limit, so that older values lose weight. The zero value is an empty histogram.
type histogram struct{ bins [histogramBins]float64 }

// add counts a value and halves all counts if their total exceeds the limit. Values outside the range of the bins
// count in the first or last bin.
func (h *histogram) add(value, limit float64) {
	bin := int(math.Round(binOfValueOne + binsPerOctave*math.Log2(math.Max(value, minBinnedValue))))
	h.bins[max(0, min(len(h.bins)-1, bin))]++
	if _, total := h.mean(); total > limit {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

// mean returns the geometric mean of the counted values and the total count. The mean is 0 if the total count is below
// minCountForMean.
func (h *histogram) mean() (mean, total float64) {
	log2Sum := 0.0
	for bin, count := range h.bins {
		log2Sum += count * float64(bin-binOfValueOne) / binsPerOctave
		total += count
	}
	if total < minCountForMean {
		return 0, total
	}
	return math.Exp2(log2Sum / math.Max(total, 1)), total
}
