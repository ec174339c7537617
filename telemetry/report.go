package telemetry

import "math"

// Limits of plausible figures. A proxy that reports more is broken, not busy.
const (
	maxAttemptsPerS = 1e6 // attempts at one endpoint, or requests of one class, per second and proxy
	maxMeanMs       = 1e7 // mean time of an attempt
)

// Line is what a proxy observed at one endpoint since its last report. L is the caller's type of the endpoint's own
// load report, which is passed through unread.
type Line[L any] struct {
	Endpoint         int
	Attempts, Failed int     // attempts, and how many of them failed
	MeanMs           float64 // mean time of the attempts that succeeded
	Load             L
	HasLoad          bool
}

// ClassLine counts the requests of one class that a proxy received since its last report.
type ClassLine struct{ Class, Requests, Unanswered int }

// Report is a proxy's load report.
type Report[L any] struct {
	Sender     int     // the proxy
	Seq        uint64  // sequence number, from 1 when the sender joins
	AtMs       float64 // when it was sent, on the sender's own clock
	SpanMs     float64 // time that it covers, up to AtMs
	Lines      []Line[L]
	ClassLines []ClassLine
}

// lineCount returns the number of lines of both types.
func (r *Report[L]) lineCount() int { return len(r.Lines) + len(r.ClassLines) }

// validate returns why the report as a whole is rejected, or Merged if it is not. lastSeq is the sequence number of the
// sender's newest report, longestMs the longest plausible span.
func (r *Report[L]) validate(lastSeq uint64, longestMs float64) Reason {
	switch {
	case r.Seq <= lastSeq:
		return Repeated
	case !(r.SpanMs >= 0) || r.SpanMs > longestMs: // not a number fails the first test
		return Implausible
	case math.IsInf(r.AtMs, 0) || math.IsNaN(r.AtMs):
		return Implausible
	case r.SpanMs == 0 && r.lineCount() > 0:
		return NoSpan
	}
	return Merged
}

// absurd reports whether the line's figures are implausible for a report that covers spanMs.
func (l *Line[L]) implausible(spanMs float64) bool {
	if l.Attempts < 0 || l.Failed < 0 || l.Failed > l.Attempts {
		return true
	}
	if !(l.MeanMs >= 0) || l.MeanMs > maxMeanMs { // not a number fails the first test
		return true
	}
	return float64(l.Attempts) > maxCount(spanMs)
}

// absurd reports whether the line's figures are implausible for a report that covers spanMs.
func (l *ClassLine) implausible(spanMs float64) bool {
	if l.Requests < 0 || l.Unanswered < 0 || l.Unanswered > l.Requests {
		return true
	}
	return float64(l.Requests) > maxCount(spanMs)
}

// maxCount returns the largest plausible count of a line. Spans below a second count as one second, as a burst may fall
// into a short span.
func maxCount(spanMs float64) float64 { return maxAttemptsPerS * math.Max(1, spanMs/1000) }
