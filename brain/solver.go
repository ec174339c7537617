package brain

// This file solves a region's local problem (paper, equations 6 and 7): which share of its requests goes to which
// endpoint. It is a projected gradient descent from the listed weights over the shares that sum to 1 and keep to their
// limits, the capped simplex. The descent is short on purpose: shares move towards what costs less instead of all going
// to the cheapest endpoint, as costs are alike in a zone and penalties are noisy.

type allocation struct {
	endpoint, ring             int // away: 0 in the own zone, else 1
	weight, cost, limit, share float64
}

func solveShares(lines []allocation, own float64) {
	projectShares(lines)
	for range 24 {
		mean := 0.0
		for _, l := range lines {
			mean += l.share * l.cost
		}
		for i, l := range lines {
			lines[i].share -= gradientLength / max(own, 0.1) / 24 * l.weight * (l.cost - mean)
		}
		projectShares(lines)
	}
}

func projectShares(lines []allocation) {
	for range 12 {
		rest, free := 1.0, 0.0
		for i, l := range lines {
			lines[i].share = max(0, min(l.limit, l.share))
			rest -= lines[i].share
		}
		for _, l := range lines {
			free += pick(rest > 0 && l.share < l.limit || rest < 0 && l.share > 0, l.weight, 0)
		}
		for i, l := range lines {
			lines[i].share = pick(free == 0, l.share/max(1-rest, 1e-9), l.share+rest*l.weight/max(free, 1e-9))
		}
	}
}
