package brain

const (
	roundMs           = 1000.0 // the gather window: reports are about this far apart
	penaltyGain       = 0.25   // penalty gain in a gather
	maxPenalty        = 1.1    // a penalty above every rank says no more, and a higher one is slow to come down
	gradientLength    = 1.5    // length of the gradient loop, in units of the own zone's part
	staleMs           = 5000.0 // a load report older than this counts as unheard
	reportDelayRounds = 3      // gathers until a report shows what a table changed
	speedsOfEndpoint  = 24     // speeds that a histogram holds of an endpoint before it is halved
	fullQueue         = 10.0   // a queue that counts as much as a whole load on top of a full one
	unlimitedRate     = 1e6    // reqs a second of a proxy that all let in
)

// In sets: own penalty against the zone's, reports against earlier ones, part of a share
// worth a line; margin of latency, cost of a rank; load
// that denies, steps, what stays; failures and load to try again at; gap that is sent, more for a table of a
// second.
const (
	ownPenaltyPart, latestReportGain, minSharePart         = 0.4, 0.7, 0.05
	latencyStep, zoneCostStep                              = 1.3, 0.2
	fullLoad, shedStep, shedRelease, minAdmitted           = 0.9, 0.06, 0.92, 0.1
	minRetryFailureRate, maxRetryFailureRate, maxRetryLoad = 0.02, 0.5, 0.7
	tolerance, channelTolerance                            = 0.12, 0.2
)

// Part of the connections that the least endpoint takes; most parts of a zone, proxies of one; least lines
// of a table; parts of a line that bring and keep it there; gaps worth heads of a second of the channel.
const (
	connectionUse, maxSubsets, minSubsetProxies      = 0.7, 8, 10
	minRunLines, enterPart, leavePart, worthwhileGap = 2.5, 0.35, 0.1, 0.5
)

// Figures of what is sent.
const (
	assignmentWaitMs = 100.0 // between two tries to bind proxies that wait for room
)
