package intake

import "math"

// Limits of what a report may claim. Beyond them a proxy is broken, not busy.
const (
	maxAttemptsPerS = 1e6 // attempts, or requests, a second from one proxy
	maxMeanMs       = 1e7 // mean time of an attempt
)

// Line is what a proxy saw at one endpoint since its last report. L is the caller's form of the endpoint's own load
// report; it is passed on without being looked at.
type Line[L any] struct {
	Endpoint      int
	Tries, Failed int     // attempts, and those of them that failed
	MeanMs        float64 // mean time of an attempt that succeeded
	Load          L
	HasLoad       bool
}

// KindLine is how many requests of one class came to a proxy since its last report.
type KindLine struct{ Kind, Reqs, Unanswered int }

// Report is one load report of a proxy.
type Report[L any] struct {
	Sender int     // the proxy
	Seq    uint64  // counts the sender's reports from 1
	AtMs   float64 // when it was sent, on the sender's own clock
	SpanMs float64 // time that it covers, up to AtMs
	Lines  []Line[L]
	Kinds  []KindLine
}

// lineCount returns how many lines of both sorts the report has.
func (r *Report[L]) lineCount() int { return len(r.Lines) + len(r.Kinds) }

// validate returns why the report as a whole is refused, or Merged if it is not: its number was seen before, or its
// times cannot be true. longestMs is the longest span that is believed.
func (r *Report[L]) validate(lastSeq uint64, longestMs float64) Reason {
	switch {
	case r.Seq <= lastSeq:
		return Repeated
	case !(r.SpanMs >= 0) || r.SpanMs > longestMs: // not a number fails the first test
		return Absurd
	case math.IsInf(r.AtMs, 0) || math.IsNaN(r.AtMs):
		return Absurd
	case r.SpanMs == 0 && r.lineCount() > 0:
		return NoSpan
	}
	return Merged
}

// absurd reports whether a line's figures cannot be true of spanMs.
func (l *Line[L]) absurd(spanMs float64) bool {
	if l.Tries < 0 || l.Failed < 0 || l.Failed > l.Tries {
		return true
	}
	if !(l.MeanMs >= 0) || l.MeanMs > maxMeanMs { // not a number fails the first test
		return true
	}
	return float64(l.Tries) > maxCount(spanMs)
}

// absurd reports whether the line's figures cannot be true of spanMs.
func (l *KindLine) absurd(spanMs float64) bool {
	if l.Reqs < 0 || l.Unanswered < 0 || l.Unanswered > l.Reqs {
		return true
	}
	return float64(l.Reqs) > maxCount(spanMs)
}

// maxCount returns how many attempts or requests of one line are believed. Spans below a second count as one, as a
// burst may fall into a short span.
func maxCount(spanMs float64) float64 { return maxAttemptsPerS * math.Max(1, spanMs/1000) }
