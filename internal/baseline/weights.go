package baseline

import (
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

const (
	// subsetSize is the number of endpoints in the table of a proxy that does not share its table.
	subsetSize = 8
	// minWeight replaces smaller weights of the endpoint list, because a weight of 0 would remove the endpoint from the
	// table.
	minWeight = 1e-9
	// minUtilization is the lower bound of the utilization in the inverse policy. It limits the weight of an idle
	// endpoint.
	minUtilization = 0.05
	// maxFeedbackStep limits the change of a weight in one step of the feedback policy, as the logarithm of the factor.
	maxFeedbackStep = 0.5
	// oracleIdleLoad is added to the squared load in the oracle policy. It limits the weight of an idle endpoint.
	oracleIdleLoad = 0.2
	// weightSteps is the number of distinct rounded weights within a factor of e.
	weightSteps = 20
)

// listedWeight returns an endpoint's weight in the endpoint list, but at least minWeight.
func (p *policy) listedWeight(endpoint int) float64 { return max(p.listed[endpoint].Weight, minWeight) }

// roundWeight rounds a weight to about two significant digits, so that small changes of the load do not change every
// line of a table.
func roundWeight(weight float64) float64 {
	return math.Exp(math.Round(math.Log(weight)*weightSteps) / weightSteps)
}

// even returns the listed weight of each ready endpoint.
func (p *policy) even(int) map[int]float64 {
	weights := map[int]float64{}
	for _, endpoint := range p.ready {
		weights[endpoint] = p.listedWeight(endpoint)
	}
	return weights
}

// subset returns the listed weights of subsetSize endpoints that are selected for the proxy by rendezvous hashing.
func (p *policy) subset(proxy int) map[int]float64 {
	ranked := slices.Clone(p.ready)
	slices.SortFunc(ranked, func(a, b int) int { return p.rank(proxy, a) - p.rank(proxy, b) })
	weights := map[int]float64{}
	for _, endpoint := range ranked[:min(subsetSize, len(ranked))] {
		weights[endpoint] = p.listedWeight(endpoint)
	}
	return weights
}

// rank returns the 31-bit hash of a proxy and an endpoint by which subset orders the endpoints.
func (p *policy) rank(proxy, endpoint int) int {
	return int(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", p.seed, proxy, endpoint)) >> 1)
}

// aperture returns the listed weights of subsetSize consecutive endpoints on a ring. The proxies' ranges are
// distributed evenly around the ring.
func (p *policy) aperture(proxy int) map[int]float64 {
	weights := map[int]float64{}
	ringSize := len(p.ready)
	if ringSize == 0 {
		return weights
	}
	position, _ := slices.BinarySearch(slices.Sorted(maps.Keys(p.proxies)), proxy)
	from := float64(position) / float64(max(1, len(p.proxies))) * float64(ringSize)
	for offset := range min(subsetSize, ringSize) {
		endpoint := p.ready[(int(from)+offset)%ringSize]
		weights[endpoint] = p.listedWeight(endpoint)
	}
	return weights
}

// inverse returns weights that are inversely proportional to the utilization last reported.
func (p *policy) inverse(int) map[int]float64 {
	weights := map[int]float64{}
	for _, endpoint := range p.ready {
		weights[endpoint] = roundWeight(p.listedWeight(endpoint) / max(minUtilization, p.utilization[endpoint]))
	}
	return weights
}

// feedback changes each weight by the difference between the mean utilization and the endpoint's own. It does not
// consider the cost of the changes, such as messages to proxies.
func (p *policy) feedback(int) map[int]float64 {
	sum := 0.0
	for _, endpoint := range p.ready {
		sum += p.utilization[endpoint]
	}
	mean := sum / float64(max(1, len(p.ready)))
	weights := map[int]float64{}
	for _, endpoint := range p.ready {
		if p.feedbackWeight[endpoint] == 0 {
			p.feedbackWeight[endpoint] = p.listedWeight(endpoint)
		}
		step := min(maxFeedbackStep, max(-maxFeedbackStep, mean-p.utilization[endpoint]))
		p.feedbackWeight[endpoint] *= math.Exp(step)
		weights[endpoint] = roundWeight(p.feedbackWeight[endpoint])
	}
	return weights
}

// oracle returns weights that fall with the square of the true load. Endpoints that are not running get no weight;
// if none is running, the weights are those of even.
func (p *policy) oracle(int) map[int]float64 {
	weights := map[int]float64{}
	for _, endpoint := range p.ready {
		busy, runs := 0.0, true
		if p.trueLoad != nil {
			busy, runs = p.trueLoad(endpoint)
		}
		if runs {
			weights[endpoint] = roundWeight(p.listedWeight(endpoint) / (oracleIdleLoad + busy*busy))
		}
	}
	if len(weights) == 0 {
		return p.even(0)
	}
	return weights
}
