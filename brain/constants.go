package brain

const (
	roundMs        = 1000.0 // the gather window: reports are about this far apart
	settlingRounds = 5      // in which a planner that has just started knows too little to load endpoints that warm up
	staleMs        = 5000.0 // a load report older than this counts as unheard
)
