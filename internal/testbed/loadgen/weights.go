package loadgen

import (
	"math/rand/v2"
	"slices"
)

// minTargetWeight prevents a division by 0 in moveWeight if the targets have no weight.
const minTargetWeight = 1e-9

// chooser picks indices at random in proportion to weights. Element i is the sum of weights 0 to i.
type chooser []float64

func newChooser(weights []float64) chooser {
	sums := make(chooser, 0, len(weights))
	sum := 0.0
	for _, weight := range weights {
		sum += weight
		sums = append(sums, sum)
	}
	return sums
}

func (c chooser) draw(random *rand.Rand) int {
	i, _ := slices.BinarySearch(c, random.Float64()*c[len(c)-1])
	return min(i, len(c)-1)
}

// drawIndex returns a random index with probability proportional to its weight.
func drawIndex(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	remaining := random.Float64() * sum
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1 // reached only through floating-point rounding
}

// moveWeight moves a fraction of the total weight to the targets, which share it in proportion to their weights. It
// modifies weights in place.
func moveWeight(weights []float64, targets []int, fraction float64) {
	sum := 0.0
	targetSum := minTargetWeight
	for i, weight := range weights {
		sum += weight
		if slices.Contains(targets, i) {
			targetSum += weight
		}
	}
	for i, before := range weights {
		weights[i] *= 1 - fraction
		if slices.Contains(targets, i) {
			weights[i] += fraction * sum * before / targetSum
		}
	}
}
