package intake

// Terms are what the settings allow, received at start.
type Terms struct {
	LinesPerS   float64 // report lines taken in a second, all senders together; 0: no limit
	ToldPerS    float64 // lines passed on a second; 0: no limit
	Standing    int     // sums that may wait to be passed on; 0: no limit
	PeriodMs    float64 // of reports, ordinarily
	HalfMs      float64 // age at which a figure weighs half
	LongestMs   float64 // span beyond which a report is absurd
	Slowest     int     // times the period that senders may be asked to wait
	ColdMs      float64 // for which a started endpoint counts as cold
	MostSenders int
}
