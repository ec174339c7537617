package recovery

// Predecessor is the state machine of the process that runs the controller and may hand it over. The zero value is
// ready to use.
type Predecessor struct {
	// MaxLockAttempts is the number of attempts to acquire the lock after the connection to the successor was lost. If
	// all of them fail, another process runs the controller. At least one attempt is made.
	MaxLockAttempts int

	state              state
	failedLockAttempts int // consecutive attempts at which another process held the lock
}

// Replaced reports whether another process has taken over the controller.
func (o *Predecessor) Replaced() bool { return o.state == stateEnded }

// Next processes an event and returns the next action. An event that is not expected in the current state is ignored,
// except where a state treats it as the loss of the successor.
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
	return NoAction
}

// whenServing offers the listeners to a process that requests to take over.
func (o *Predecessor) whenServing(e Event) Action {
	if e != TakeoverRequested {
		return NoAction
	}
	o.state = stateOffered
	return SendOffer
}

// whenOffered stops the controller when the successor is ready. On any other event it returns to serving, because the
// controller is still running.
func (o *Predecessor) whenOffered(e Event) Action {
	if e != ReadyReceived {
		o.state = stateServing
		return NoAction
	}
	o.state = stateStopping
	return StopPilot
}

// whenStopping tells the successor to go ahead when the controller has stopped.
func (o *Predecessor) whenStopping(e Event) Action {
	if e != PilotStopped {
		return NoAction
	}
	o.state = stateReleased
	return SendGo
}

// whenReleased ends if the successor reports that it runs the controller. On any other event it tries to acquire the
// lock, because only the lock shows whether the successor runs the controller or has exited.
func (o *Predecessor) whenReleased(e Event) Action {
	if e == ServingReceived {
		o.state = stateEnded
		return End
	}
	o.state = stateReclaiming
	o.failedLockAttempts = 0
	return AcquireLock
}

// whenReclaiming restarts the controller if the lock was acquired. It ends if another process has held the lock at
// MaxLockAttempts attempts in a row.
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
	return NoAction
}
