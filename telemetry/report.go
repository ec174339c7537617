package telemetry

import "math"

// Limits of plausible values. A report that exceeds them comes from a faulty proxy, not from a busy one.
const (
	maxAttemptsPerS = 1e6 // largest number of attempts at one endpoint, or requests of one class, per second and proxy
	maxMeanMs       = 1e7 // largest mean duration of an attempt, ms
)

// EndpointLine holds the statistics of a proxy's attempts at one endpoint since its last report. L is the type of the load
// report of an endpoint, which this package does not interpret.
type EndpointLine[L any] struct {
	Endpoint         int
	Attempts, Failed int     // number of attempts, and how many of them failed
	MeanMs           float64 // mean duration of successful attempts
	Load             L
	HasLoad          bool
}

// ClassLine counts the requests of one class that a proxy received since its last report. Unanswered is the number of
// those requests that were not answered.
type ClassLine struct{ Class, Requests, Unanswered int }

// Report is the load report of a proxy for the period since its previous report.
type Report[L any] struct {
	Sender        int     // ID of the proxy
	Seq           uint64  // sequence number, starts at 1 when the sender joins
	AtMs          float64 // time of sending, ms on the sender's clock
	SpanMs        float64 // length of the reported period, which ends at AtMs
	EndpointLines []EndpointLine[L]
	ClassLines    []ClassLine
}

// lineCount returns the number of endpoint lines and class lines.
func (r *Report[L]) lineCount() int { return len(r.EndpointLines) + len(r.ClassLines) }

// validate returns why the whole report is rejected, or Merged if it is valid. lastSeq is the sequence number of the
// sender's newest report, longestMs the longest period that a report may cover.
func (r *Report[L]) validate(lastSeq uint64, longestMs float64) Reason {
	switch {
	case r.Seq <= lastSeq:
		return Repeated
	case !(r.SpanMs >= 0) || r.SpanMs > longestMs: // the negated comparison also catches NaN
		return Implausible
	case math.IsInf(r.AtMs, 0) || math.IsNaN(r.AtMs):
		return Implausible
	case r.SpanMs == 0 && r.lineCount() > 0:
		return NoSpan
	}
	return Merged
}

// implausible reports whether a value of the line cannot be right in a report that covers spanMs.
func (l *EndpointLine[L]) implausible(spanMs float64) bool {
	if l.Attempts < 0 || l.Failed < 0 || l.Failed > l.Attempts {
		return true
	}
	if !(l.MeanMs >= 0) || l.MeanMs > maxMeanMs { // the negated comparison also catches NaN
		return true
	}
	return float64(l.Attempts) > maxCount(spanMs)
}

// implausible reports whether a count of the line cannot be right in a report that covers spanMs.
func (l *ClassLine) implausible(spanMs float64) bool {
	if l.Requests < 0 || l.Unanswered < 0 || l.Unanswered > l.Requests {
		return true
	}
	return float64(l.Requests) > maxCount(spanMs)
}

// maxCount returns the largest plausible count of a line in a report that covers spanMs. A shorter period than a second
// counts as a second, because it may contain a burst.
func maxCount(spanMs float64) float64 { return maxAttemptsPerS * math.Max(1, spanMs/1000) }
