package main

import (
	"math"
	"math/rand/v2"
	"slices"

	"indigousher/planner"
	"indigousher/telemetry"
)

// method is a sampling method. Its function estimates the attempts by second and endpoint from a fraction of the lines.
type method struct {
	name     string
	estimate func(lines []line, fraction float64, rnd *rand.Rand) [][]float64
}

// methods lists the compared methods in the order of the table in docs/intake.md.
var methods = []method{
	{"drop newest", dropNewest},
	{"drop oldest", dropOldest},
	{"reservoir", reservoir},
	{"priority sample", prioritySample},
	{"heavy hitters (space saving)", spaceSaving},
	{"intake: merged by key", func(lines []line, fraction float64, _ *rand.Rand) [][]float64 {
		const noAgeing = 1e9
		return intake(lines, fraction, noAgeing)
	}},
	{"intake: merged, aged (5 s)", func(lines []line, fraction float64, _ *rand.Rand) [][]float64 {
		return intake(lines, fraction, 5000)
	}},
}

// scaled returns the attempts of a kept line multiplied by the ratio of all lines of its second to those kept.
func scaled(l line, all, keep int) float64 {
	return l.attempts * float64(all) / float64(keep)
}

// dropNewest keeps the first lines of each second, as a full queue does that drops new lines.
func dropNewest(lines []line, fraction float64, _ *rand.Rand) [][]float64 {
	estimate := newEstimate()
	bySecond(lines, fraction, func(second int, lines []line, keep int) {
		for _, l := range lines[:keep] {
			estimate[second][l.endpoint] += scaled(l, len(lines), keep)
		}
	})
	return estimate
}

// dropOldest keeps the last lines of each second, as a full queue does that drops its oldest lines.
func dropOldest(lines []line, fraction float64, _ *rand.Rand) [][]float64 {
	estimate := newEstimate()
	bySecond(lines, fraction, func(second int, lines []line, keep int) {
		for _, l := range lines[len(lines)-keep:] {
			estimate[second][l.endpoint] += scaled(l, len(lines), keep)
		}
	})
	return estimate
}

// reservoir keeps a uniform random sample of the lines of each second.
func reservoir(lines []line, fraction float64, rnd *rand.Rand) [][]float64 {
	estimate := newEstimate()
	bySecond(lines, fraction, func(second int, lines []line, keep int) {
		for _, i := range rnd.Perm(len(lines))[:keep] {
			estimate[second][lines[i].endpoint] += scaled(lines[i], len(lines), keep)
		}
	})
	return estimate
}

// prioritySample keeps the lines with the highest priorities in each second (Duffield, Lund, Thorup: priority
// sampling). The priority of a line is its attempts divided by a uniform random number. The highest priority that is
// not kept is the threshold, and a kept line with fewer attempts than that counts as the threshold.
func prioritySample(lines []line, fraction float64, rnd *rand.Rand) [][]float64 {
	type ranked struct {
		line
		priority float64
	}
	estimate := newEstimate()
	bySecond(lines, fraction, func(second int, lines []line, keep int) {
		var all []ranked
		for _, l := range lines {
			all = append(all, ranked{l, l.attempts / (1 - rnd.Float64())})
		}
		slices.SortFunc(all, func(a, b ranked) int { return int(math.Copysign(1, b.priority-a.priority)) })
		threshold := 0.0
		if keep < len(all) {
			threshold = all[keep].priority
		}
		for _, l := range all[:keep] {
			estimate[second][l.endpoint] += math.Max(l.attempts, threshold)
		}
	})
	return estimate
}

// spaceSaving counts the attempts of the busiest endpoints in each second with a limited number of counters (Metwally
// et al.: Space-Saving). The fraction is that of counters to endpoints.
func spaceSaving(lines []line, fraction float64, _ *rand.Rand) [][]float64 {
	estimate := newEstimate()
	counters := max(1, int(fraction*endpoints))
	bySecond(lines, 1, func(second int, lines []line, _ int) {
		counts := map[int]float64{}
		for _, l := range lines {
			if _, ok := counts[l.endpoint]; !ok && len(counts) >= counters {
				smallest := smallestCounter(counts)
				counts[l.endpoint] = counts[smallest]
				delete(counts, smallest)
			}
			counts[l.endpoint] += l.attempts
		}
		for endpoint, n := range counts {
			estimate[second][endpoint] = n
		}
	})
	return estimate
}

// smallestCounter returns the endpoint with the smallest count, or -1 if there are no counters. Of several endpoints
// with equal counts it returns the one with the lowest number.
func smallestCounter(counts map[int]float64) int {
	smallest := -1
	for endpoint := range endpoints {
		n, ok := counts[endpoint]
		if ok && (smallest < 0 || n < counts[smallest]) {
			smallest = endpoint
		}
	}
	return smallest
}

// intake passes the lines through the telemetry package with a rate limit that keeps a fraction of them. Old figures
// lose weight with a half-life of halfLifeMs, in ms.
func intake(lines []line, fraction, halfLifeMs float64) [][]float64 {
	aggregator := newAggregator(lines, fraction, halfLifeMs)
	estimate := newEstimate()
	bySecond(lines, 1, func(second int, lines []line, _ int) {
		addReports(aggregator, second, lines)
		end := float64(second+1) * 1000
		if second > 0 { // endpoints without new data keep their last estimate
			copy(estimate[second], estimate[second-1])
		}
		for _, m := range aggregator.Flush(end, 1000).EndpointSums {
			estimate[second][m.Endpoint] = m.Attempts / m.SpanMs * 1000
		}
		aggregator.Rebalance(end)
	})
	return estimate
}

// newAggregator returns an aggregator with a rate limit that keeps a fraction of the lines, and with all endpoints and
// senders registered.
func newAggregator(lines []line, fraction, halfLifeMs float64) *telemetry.Aggregator[int] {
	pace := fraction * float64(len(lines)) / seconds
	if fraction == 1 {
		pace = 0 // no limit
	}
	aggregator := telemetry.New[int](telemetry.Options{
		LinesPerS:   pace,
		PeriodMs:    1000,
		HalfLifeMs:  halfLifeMs,
		MaxAgeMs:    60000,
		MaxSlowdown: 1,
	})
	for endpoint := range endpoints {
		aggregator.UpdateEndpoint(0, endpoint, planner.Ready, 0)
	}
	for sender := range senders {
		aggregator.Join(0, sender, 0)
	}
	return aggregator
}

// addReports adds the lines of one second to the aggregator as one report per sender. The reports are spread evenly
// over the second.
func addReports(aggregator *telemetry.Aggregator[int], second int, lines []line) {
	for len(lines) > 0 {
		sender := lines[0].sender
		now := (float64(second) + float64(sender+1)/senders) * 1000
		report := telemetry.Report[int]{Sender: sender, Seq: uint64(second + 1), AtMs: now, SpanMs: 1000}
		n := 0
		for n < len(lines) && lines[n].sender == sender {
			l := telemetry.EndpointLine[int]{Endpoint: lines[n].endpoint, Attempts: int(lines[n].attempts)}
			report.EndpointLines = append(report.EndpointLines, l)
			n++
		}
		aggregator.Add(now, &report)
		lines = lines[n:]
	}
}
