package recovery

// Predecessor is the state machine of the process that runs the controller. Its zero value serves.
type Predecessor struct {
	// Patience is how often the lock is tried after the successor was lost. If another process holds it all the while,
	// that one serves.
	MaxLockAttempts int

	state              state
	failedLockAttempts int // of the lock, in a row
}

// Replaced returns whether another process serves now.
func (o *Predecessor) Replaced() bool { return o.state == stateEnded }

// Next takes in an event and returns what to do. An event that does not fit the state changes nothing.
func (o *Predecessor) Next(e Event) Action {
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

func (o *Predecessor) whenServing(e Event) Action {
	if e != TakeoverRequested {
		return Nothing
	}
	o.state = stateOffered
	return SendOffer
}

// whenOffered goes back to serving if the successor gave up: nothing was stopped.
func (o *Predecessor) whenOffered(e Event) Action {
	if e != ReadyReceived {
		o.state = stateServing
		return Nothing
	}
	o.state = stateStopping
	return StopPilot
}

func (o *Predecessor) whenStopping(e Event) Action {
	if e != PilotStopped {
		return Nothing
	}
	o.state = stateReleased
	return SendGo
}

// whenReleased tries the lock unless the successor says that it serves: whether it does or has died, only the lock
// tells.
func (o *Predecessor) whenReleased(e Event) Action {
	if e == ServingReceived {
		o.state = stateEnded
		return End
	}
	o.state = stateReclaiming
	o.failedLockAttempts = 0
	return AcquireLock
}

// whenReclaiming serves again with the lock, and ends if another process keeps it.
func (o *Predecessor) whenReclaiming(e Event) Action {
	switch e {
	case LockAcquired:
		o.state = stateServing
		return StartPilot
	case LockRefused:
		o.failedLockAttempts++
		if o.failedLockAttempts < o.MaxLockAttempts {
			return AcquireLock
		}
		o.state = stateEnded
		return End
	}
	return Nothing
}
