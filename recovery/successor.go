package recovery

// Successor is the state machine of the process that takes over. NewSuccessor makes one that has made its request.
type Successor struct{ state state }

// NewSuccessor returns the state machine of a process that has requested to take over.
func NewSuccessor() *Successor { return &Successor{state: stateRequesting} }

// Next takes in an event and returns what to do. Until it serves, an event that does not fit the state ends it.
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
	case stateServing: // it has the lock, whatever becomes of the predecessor
		return Nothing
	}
	return n.end()
}

func (n *Successor) whenRequesting(e Event) Action {
	if e != OfferReceived {
		return n.end()
	}
	n.state = stateReady
	return SendReady
}

// whenReady tries the lock also if the predecessor was lost: it may have stopped or died, and if not it has the lock.
func (n *Successor) whenReady(e Event) Action {
	if e != GoReceived && e != PeerLost {
		return n.end()
	}
	n.state = stateClaiming
	return AcquireLock
}

func (n *Successor) whenClaiming(e Event) Action {
	if e != LockAcquired {
		return n.end()
	}
	n.state = stateStarting
	return StartPilot
}

// whenStarting releases the lock if the controller could not be started.
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

// end gives up.
func (n *Successor) end() Action {
	n.state = stateEnded
	return End
}
