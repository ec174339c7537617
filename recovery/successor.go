package recovery

// Successor is the state machine of the process that takes over the controller. It must be created with NewSuccessor.
type Successor struct{ state state }

// NewSuccessor returns the state machine of a process that has sent its request to take over.
func NewSuccessor() *Successor { return &Successor{state: stateRequesting} }

// Next processes an event and returns the next action. An event that is not expected in the current state ends the
// takeover, unless the controller of this process is already running.
func (n *Successor) Next(e Event) Action {
	switch n.state {
	case stateRequesting:
		return n.whenRequesting(e)
	case stateReady:
		return n.whenReady(e)
	case stateClaiming:
		return n.whenClaiming(e)
	case stateStarting:
		return n.whenStarting(e)
	case stateServing: // it holds the lock, so events from the predecessor no longer matter
		return NoAction
	}
	return n.end()
}

// whenRequesting reports that this process is ready when it has received the listeners.
func (n *Successor) whenRequesting(e Event) Action {
	if e != OfferReceived {
		return n.end()
	}
	n.state = stateReady
	return SendReady
}

// whenReady tries to acquire the lock when the predecessor has stopped its controller. It also does so when the
// connection was lost: the predecessor may have exited, and if it is still running it holds the lock.
func (n *Successor) whenReady(e Event) Action {
	if e != GoReceived && e != PeerLost {
		return n.end()
	}
	n.state = stateClaiming
	return AcquireLock
}

// whenClaiming starts the controller when the lock was acquired.
func (n *Successor) whenClaiming(e Event) Action {
	if e != LockAcquired {
		return n.end()
	}
	n.state = stateStarting
	return StartPilot
}

// whenStarting reports success when the controller runs, and releases the lock if it could not be started.
func (n *Successor) whenStarting(e Event) Action {
	switch e {
	case PilotStarted:
		n.state = stateServing
		return SendServing
	case PilotStartFailed:
		n.state = stateEnded
		return ReleaseLock
	}
	return n.end()
}

// end abandons the takeover.
func (n *Successor) end() Action {
	n.state = stateEnded
	return End
}
