package recovery

// Old is the state machine of the process that runs the controller. Its zero value serves.
type Old struct {
	// Patience is how often the lock is tried after the successor was lost. If another process holds it all the while,
	// that one serves.
	Patience int

	state    state
	refusals int // of the lock, in a row
}

// Gone returns whether another process serves now.
func (o *Old) Gone() bool { return o.state == stateEnded }

// Next takes in an event and returns what to do. An event that does not fit the state changes nothing.
func (o *Old) Next(e Event) Act {
	switch o.state {
	case stateServing:
		return o.whenServing(e)
	case stateOffered:
		return o.whenOffered(e)
	case stateStopping:
		return o.whenStopping(e)
	case stateReleased:
		return o.whenReleased(e)
	case stateReclaiming:
		return o.whenReclaiming(e)
	}
	return Nothing
}

func (o *Old) whenServing(e Event) Act {
	if e != Asked {
		return Nothing
	}
	o.state = stateOffered
	return SayOffer
}

// whenOffered goes back to serving if the successor gave up: nothing was stopped.
func (o *Old) whenOffered(e Event) Act {
	if e != ReadyCame {
		o.state = stateServing
		return Nothing
	}
	o.state = stateStopping
	return StopPilot
}

func (o *Old) whenStopping(e Event) Act {
	if e != Stopped {
		return Nothing
	}
	o.state = stateReleased
	return SayGo
}

// whenReleased tries the lock unless the successor says that it serves: whether it does or has died, only the lock tells.
func (o *Old) whenReleased(e Event) Act {
	if e == ServingCame {
		o.state = stateEnded
		return End
	}
	o.state = stateReclaiming
	o.refusals = 0
	return Claim
}

// whenReclaiming serves again with the lock, and ends if another process keeps it.
func (o *Old) whenReclaiming(e Event) Act {
	switch e {
	case Claimed:
		o.state = stateServing
		return StartPilot
	case Refused:
		o.refusals++
		if o.refusals < o.Patience {
			return Claim
		}
		o.state = stateEnded
		return End
	}
	return Nothing
}
