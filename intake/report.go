package intake

import "math"

// Line is what a proxy met at one endpoint. L is what a load report is held as.
type Line[L any] struct {
	Endpoint      int
	Tries, Failed int
	MeanMs        float64
	Load          L
	HasLoad       bool
}

// KindLine is what came to a proxy of one kind of req.
type KindLine struct{ Kind, Reqs, Unanswered int }

// Report is one report. Seq counts a sender's reports from 1, AtMs is the sender's own clock when it was sent.
type Report[L any] struct {
	Sender int
	Seq    uint64
	AtMs   float64
	SpanMs float64
	Lines  []Line[L]
	Kinds  []KindLine
}

// Limits of what is believed.
const (
	maxReportsStoodFor = 8     // reports that one may stand for
	minLines           = 1.0   // below so many lines of room a report is left to the next one
	maxAttemptsPerS    = 1e6   // tries a second at one endpoint from one proxy
	maxMeanMs          = 1e7   // mean time of a try
	maxLoadAgeMs       = 20000 // ms after which a load report says nothing
)

// check refuses what can't be true, and what has been heard.
func (a *Intake[L]) check(s *sender, r *Report[L]) (Reason, bool) {
	switch {
	case r.Seq <= s.lastSeq:
		return Repeated, false // or overtaken by a later one that stands for it
	case !(r.SpanMs >= 0) || r.SpanMs > a.terms.LongestMs || math.IsInf(r.AtMs, 0) || math.IsNaN(r.AtMs):
		return Absurd, false
	case r.SpanMs == 0 && len(r.Lines)+len(r.Kinds) > 0:
		return NoSpan, false
	}
	return Merged, true
}

func absurd[L any](l *Line[L], spanMs float64) bool {
	return l.Tries < 0 || l.Failed < 0 || l.Failed > l.Tries || !(l.MeanMs >= 0) || l.MeanMs > maxMeanMs ||
		float64(l.Tries) > maxAttemptsPerS*math.Max(1, spanMs/1000)
}
