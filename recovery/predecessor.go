package recovery

// Old is the side of the process that runs. Its zero value serves.
type Old struct {
	state    state
	refusals int
	// Patience is how often the claim is tried after the new one was lost. If another holds it all the while, that one
	// serves.
	Patience int
}

// Gone returns whether the other process serves now.
func (o *Old) Gone() bool { return o.state == stateEnded }

// Next takes in an event and returns what to do.
func (o *Old) Next(e Event) Act {
	switch {
	case o.state == stateServing && e == Asked:
		o.state = stateOffered
		return SayOffer
	case o.state == stateOffered && e == ReadyCame:
		o.state = stateStopping
		return StopPilot
	case o.state == stateOffered: // the new one gave up before anything was stopped
		o.state = stateServing
		return Nothing
	case o.state == stateStopping && e == Stopped:
		o.state = stateReleased
		return SayGo
	case o.state == stateReleased && e == ServingCame:
		o.state = stateEnded
		return End
	case o.state == stateReleased: // whether it serves or died only the claim can tell
		o.state, o.refusals = stateReclaiming, 0
		return Claim
	case o.state == stateReclaiming && e == Claimed:
		o.state = stateServing
		return StartPilot
	case o.state == stateReclaiming && e == Refused:
		if o.refusals++; o.refusals < o.Patience {
			return Claim
		}
		o.state = stateEnded
		return End
	}
	return Nothing
}
