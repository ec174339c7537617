package brain

// This file holds a coarse histogram of positive values whose past fades.

import "math"

// histogram counts in bins of half an octave, halved when full.
type histogram struct{ bins [24]float64 }

func (h *histogram) add(v, most float64) {
	h.bins[max(0, min(len(h.bins)-1, int(math.Round(8+2*math.Log2(math.Max(v, 1e-9))))))]++
	if _, total := h.mean(); total > most {
		for i := range h.bins {
			h.bins[i] /= 2
		}
	}
}

func (h *histogram) mean() (mean, total float64) {
	for i, n := range h.bins {
		mean += n * float64(i-8) / 2
		total += n
	}
	return pick(total >= 2, math.Exp2(mean/math.Max(total, 1)), 0), total
}
