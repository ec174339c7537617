package planner

// This file holds a coarse, fading histogram of positive values.

import "math"

const (
	histogramBins   = 24
	binsPerOctave   = 2.0  // neighboring bins are a factor of sqrt(2) apart
	binOfValueOne   = 8    // the bin of a value of 1
	minBinnedValue  = 1e-9 // lower bound of values, as bins are logarithmic
	minCountForMean = 2    // fewest values that have a mean
)

// histogram counts values in logarithmic bins of half an octave. All counts are halved whenever they exceed a limit, so
// that old values fade.
type histogram struct{ bins [histogramBins]float64 }

// add counts a value, and halves all counts if they exceed the limit.
func (h *histogram) add(value, limit float64) {
	bin := int(math.Round(binOfValueOne + binsPerOctave*math.Log2(math.Max(value, minBinnedValue))))
	h.bins[max(0, min(len(h.bins)-1, bin))]++
	if _, total := h.mean(); total > limit {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

// mean returns the geometric mean of the values, or 0 if there are too few, and the total count.
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
