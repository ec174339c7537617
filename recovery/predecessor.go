package recovery

// Old is the side of the process that runs. Its zero value serves.
type Old struct {
	at    step
	tries int
	// Patience is how often the claim is tried after the new one was lost. If another holds it all the while, that one
	// serves.
	Patience int
}

// Gone returns whether the other process serves now.
func (o *Old) Gone() bool { return o.at == over }

// Next takes in an event and returns what to do.
func (o *Old) Next(e Event) Act {
	switch {
	case o.at == serving && e == Asked:
		o.at = offered
		return SayOffer
	case o.at == offered && e == ReadyCame:
		o.at = stopping
		return StopPilot
	case o.at == offered: // the new one gave up before anything was stopped
		o.at = serving
		return Nothing
	case o.at == stopping && e == Stopped:
		o.at = let
		return SayGo
	case o.at == let && e == ServingCame:
		o.at = over
		return End
	case o.at == let: // whether it serves or died only the claim can tell
		o.at, o.tries = reclaiming, 0
		return Claim
	case o.at == reclaiming && e == Claimed:
		o.at = serving
		return StartPilot
	case o.at == reclaiming && e == Refused:
		if o.tries++; o.tries < o.Patience {
			return Claim
		}
		o.at = over
		return End
	}
	return Nothing
}
