package planner

// This file holds a coarse histogram of positive values whose past fades.

import "math"

const (
	histogramBins    = 24
	binsOfOctave     = 2.0  // so that neighbouring bins are a factor of the square root of 2 apart
	binOfOne         = 8    // the bin of a value of 1
	leastBinned      = 1e-9 // values count as this at least, as bins go by their logarithm
	enoughBinnedMean = 2    // values from which a mean is taken
)

// histogram counts values in bins of half an octave. When it holds more than a limit all counts are halved, so that old
// values fade as new ones come.
type histogram struct{ bins [histogramBins]float64 }

// add counts a value; counts beyond the limit are halved.
func (h *histogram) add(value, limit float64) {
	bin := int(math.Round(binOfOne + binsOfOctave*math.Log2(math.Max(value, leastBinned))))
	h.bins[max(0, min(len(h.bins)-1, bin))]++
	if _, total := h.mean(); total > limit {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

// mean returns the geometric mean of the values, or 0 where there are too few, and how many they are.
func (h *histogram) mean() (mean, total float64) {
	octaves := 0.0
	for bin, count := range h.bins {
		octaves += count * float64(bin-binOfOne) / binsOfOctave
		total += count
	}
	if total < enoughBinnedMean {
		return 0, total
	}
	return math.Exp2(octaves / math.Max(total, 1)), total
}
