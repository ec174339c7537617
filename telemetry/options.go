package telemetry

// Options configures an aggregator. It does not change during the aggregator's life.
type Options struct {
	LinesPerS   float64 // report lines accepted per second, all senders together; 0: no limit
	FlushedPerS float64 // lines flushed per second; 0: no limit
	MaxPending  int     // sums that may be pending at once; 0: no limit
	PeriodMs    float64 // between two reports of a sender, unless it was asked to report less often
	HalfLifeMs  float64 // half-life: the age at which a figure counts half
	MaxAgeMs    float64 // a report that covers more, or is older, is rejected
	MaxSlowdown int     // largest factor by which senders may be asked to stretch the period
	WarmUpMs    float64 // how long an endpoint counts as warming up after its start
	MaxSenders  int     // senders that may be joined at once; 0: no limit
}
