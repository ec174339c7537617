package telemetry

// Options configures an aggregator. It is fixed when the aggregator is created.
type Options struct {
	LinesPerS   float64 // report lines accepted per second from all senders together; 0: no limit
	FlushedPerS float64 // sums flushed per second; 0: no limit
	MaxPending  int     // largest number of pending sums; 0: no limit
	PeriodMs    float64 // configured interval between two reports of a sender
	HalfLifeMs  float64 // age at which a reported value counts half
	MaxAgeMs    float64 // a report that is older or covers a longer period is rejected
	MaxSlowdown int     // largest factor by which senders are asked to lengthen PeriodMs
	WarmUpMs    float64 // time after its start for which an endpoint counts as warming up
	MaxSenders  int     // largest number of joined senders; 0: no limit
}
