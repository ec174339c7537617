package brain

// This file keeps how many requests come to the joined proxies, by zone and by request class.

func (b *Brain) surge(z int) float64 {
	return (b.observed[z] + priorRequests) / (b.baseline[z] + priorRequests)
}
