package brain

const (
	roundMs        = 1000.0 // the gather window: reports are about this far apart
	settlingRounds = 5      // in which a planner that has just started knows too little to load endpoints that warm up
	staleMs        = 5000.0 // a load report older than this counts as unheard
	unlimitedRate  = 1e6    // reqs a second of a proxy that all let in
)

// In sets: load that denies, steps, what stays; failures and load to try again at; gap that is sent, more for a table of a
// second.
const (
	fullLoad, shedStep, shedRelease, minAdmitted           = 0.9, 0.06, 0.92, 0.1
	minRetryFailureRate, maxRetryFailureRate, maxRetryLoad = 0.02, 0.5, 0.7
	tolerance, channelTolerance                            = 0.12, 0.2
)

// Gaps worth heads of a second of the channel.
const worthwhileGap = 0.5

// Figures of what is sent.
const (
	assignmentWaitMs = 100.0 // between two tries to bind proxies that wait for room
)
