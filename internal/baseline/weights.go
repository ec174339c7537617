package baseline

import (
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

const (
	// subsetSize is how many endpoints a proxy with a table of its own gets.
	subsetSize = 8
	// minWeight stands for listed weights of 0: a weight of 0 would remove the endpoint from the table.
	minWeight = 1e-9
	// minUtilization bounds what the policy by inverse load gives an idle endpoint.
	minUtilization = 0.05
	// maxFeedbackStep bounds by how much the feedback moves a weight at once, as the logarithm of a factor.
	maxFeedbackStep = 0.5
	// oracleIdleLoad is the load that an idle endpoint counts for with the oracle.
	oracleIdleLoad = 0.2
	// weightSteps is how many values of a weight are told apart within a factor of e.
	weightSteps = 20
)

// listedWeight returns an endpoint's weight in the endpoint list, never 0.
func (p *policy) listedWeight(endpoint int) float64 { return max(p.listed[endpoint].Weight, minWeight) }

// roundWeight keeps a weight to about two figures, so that not every line of a table differs each time.
func roundWeight(weight float64) float64 {
	return math.Exp(math.Round(math.Log(weight)*weightSteps) / weightSteps)
}

// even gives each endpoint its listed weight.
func (p *policy) even(int) map[int]float64 {
	weights := map[int]float64{}
	for _, endpoint := range p.ready {
		weights[endpoint] = p.listedWeight(endpoint)
	}
	return weights
}

// subset gives each proxy a few endpoints, drawn by rendezvous hashing.
func (p *policy) subset(proxy int) map[int]float64 {
	ranked := slices.Clone(p.ready)
	slices.SortFunc(ranked, func(a, b int) int { return p.rank(proxy, a) - p.rank(proxy, b) })
	weights := map[int]float64{}
	for _, endpoint := range ranked[:min(subsetSize, len(ranked))] {
		weights[endpoint] = p.listedWeight(endpoint)
	}
	return weights
}

// rank is a hash of a proxy and an endpoint, of 31 bits.
func (p *policy) rank(proxy, endpoint int) int {
	return int(crc32.ChecksumIEEE(fmt.Appendf(nil, "%d %d %d", p.seed, proxy, endpoint)) >> 1)
}

// aperture gives each proxy a few endpoints in a row on a ring; the proxies' windows lie evenly around it.
func (p *policy) aperture(proxy int) map[int]float64 {
	weights := map[int]float64{}
	ringSize := len(p.ready)
	if ringSize == 0 {
		return weights
	}
	place, _ := slices.BinarySearch(slices.Sorted(maps.Keys(p.proxies)), proxy)
	from := float64(place) / float64(max(1, len(p.proxies))) * float64(ringSize)
	for offset := range min(subsetSize, ringSize) {
		endpoint := p.ready[(int(from)+offset)%ringSize]
		weights[endpoint] = p.listedWeight(endpoint)
	}
	return weights
}

// inverse gives weights by the inverse of the load last reported.
func (p *policy) inverse(int) map[int]float64 {
	weights := map[int]float64{}
	for _, endpoint := range p.ready {
		weights[endpoint] = roundWeight(p.listedWeight(endpoint) / max(minUtilization, p.utilization[endpoint]))
	}
	return weights
}

// feedback moves each weight by how far the endpoint's load is from the mean, without any price for what it costs.
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

// oracle gives weights by the true load. Where nothing runs it gives them as even does.
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
