package intake

// Terms are the limits and periods that an aggregator keeps to. They are fixed when it is made.
type Terms struct {
	LinesPerS   float64 // report lines taken in a second, all senders together; 0: no limit
	ToldPerS    float64 // lines passed on a second; 0: no limit
	Standing    int     // sums that may be pending at once; 0: no limit
	PeriodMs    float64 // between two reports of a sender, unless it was asked to report less often
	HalfMs      float64 // age at which a figure weighs half
	LongestMs   float64 // a report that covers more, or is later, is refused
	Slowest     int     // most times the period that senders may be asked to wait
	ColdMs      float64 // for which an endpoint that has started counts as warming up
	MostSenders int     // senders that may be joined at once; 0: no limit
}
