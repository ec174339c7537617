package telemetry

import (
	"hash/crc32"
	"math"
	"slices"
)

// candidate is a line of a report from which sample selects.
type candidate struct {
	line       int     // index into the report's lines
	rank       float64 // priority; the lines with the highest ranks are kept
	scale      float64 // factor for the line's counts, which makes up for dropped lines
	alwaysKept bool    // kept regardless of the sample
}

// sample returns the lines of a report to keep, in the order in which to merge them. It keeps all lines if there are no
// more than limit. Otherwise lines of endpoints that fail, warm up or drain come first, and the rest is a priority
// sample by attempts, whose scaled counts are unbiased estimates (Duffield, Lund and Thorup, "Priority sampling for
// estimation of arbitrary subset sums"). The result is valid until the next call.
func (a *Aggregator[L]) sample(nowMs float64, report *Report[L], limit int) []candidate {
	limit = max(limit, 1)
	if len(report.EndpointLines) <= limit {
		a.candidates = a.candidates[:0]
		for i := range report.EndpointLines {
			a.candidates = append(a.candidates, candidate{line: i, scale: 1})
		}
		return a.candidates
	}
	a.rankLines(nowMs, report, limit-1)
	slices.SortFunc(a.candidates, byRank)
	threshold := a.candidates[limit].rank
	kept := a.candidates[:limit]
	for i := range kept {
		attempts := float64(report.EndpointLines[kept[i].line].Attempts)
		if !kept[i].alwaysKept && attempts > 0 {
			kept[i].scale = math.Max(attempts, threshold) / attempts
		}
	}
	return kept
}

// rankLines fills candidates with the lines of a report. At most maxAlwaysKept of them are kept regardless of the
// sample, so that some of the other lines are kept too.
func (a *Aggregator[L]) rankLines(nowMs float64, report *Report[L], maxAlwaysKept int) {
	a.candidates = a.candidates[:0]
	alwaysKept := 0
	for i := range report.EndpointLines {
		line := &report.EndpointLines[i]
		c := candidate{line: i, scale: 1}
		if alwaysKept < maxAlwaysKept && a.mustKeep(nowMs, line) {
			alwaysKept++
			c.alwaysKept = true
			c.rank = math.Inf(1)
		} else {
			c.rank = math.Max(float64(line.Attempts), 0.5) / uniform(report.Sender, report.Seq, line.Endpoint)
		}
		a.candidates = append(a.candidates, c)
	}
}

// mustKeep reports whether the endpoint of a line is failing, warming up or draining.
func (a *Aggregator[L]) mustKeep(nowMs float64, line *EndpointLine[L]) bool {
	e := a.endpoints[line.Endpoint]
	if e == nil {
		return false
	}
	failing := line.Failed > 0 && float64(line.Failed) > failingFraction*float64(line.Attempts)
	return e.draining || failing || e.warmingUp(nowMs, a.options.WarmUpMs)
}

// byRank is a comparison function that orders candidates by descending rank, and then by position in the report.
func byRank(a, b candidate) int {
	switch {
	case a.rank > b.rank:
		return -1
	case a.rank < b.rank:
		return 1
	}
	return a.line - b.line
}

// uniform returns a pseudo-random number in (0, 1] that depends only on its arguments, so that a replay draws the same
// sample. CRC-32 is linear: for inputs that differ in the same bits, the checksums differ by the same pattern in every
// report. The checksum is therefore mixed further, with the multiplications and shifts of the integer hash lowbias32.
func uniform(sender int, seq uint64, endpoint int) float64 {
	var b [20]byte
	for i := range 8 {
		b[i] = byte(sender >> (8 * i))
		b[8+i] = byte(seq >> (8 * i))
	}
	for i := range 4 {
		b[16+i] = byte(endpoint >> (8 * i))
	}
	x := crc32.ChecksumIEEE(b[:])
	x = (x ^ x>>16) * 0x7feb352d
	x = (x ^ x>>15) * 0x846ca68b
	return (float64(x^x>>16) + 1) / (1 << 32)
}
