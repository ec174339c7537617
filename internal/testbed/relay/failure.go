package relay

// Failure is a way in which the relay fails its calls.
type Failure int

const (
	// None is no failure.
	None Failure = iota
	// Silent neither answers calls nor publishes events.
	Silent
	// Unreadable answers calls with what can't be parsed.
	Unreadable
	// Resetting resets the connection of a call once it is read.
	Resetting
)

// Fail has the relay fail its calls until Recover. The n-th call read meanwhile, from 1, is executed all the same if
// executes says so.
func (r *Relay) Fail(failure Failure, executes func(n int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = failure
	r.executes = executes
	r.calls = 0
}

// Recover has the relay answer again. If it was silent it resets all connections, as after a restart.
func (r *Relay) Recover() {
	r.mu.Lock()
	ended := r.failure
	r.failure = None
	r.mu.Unlock()
	if ended == Silent {
		r.resetAll()
	}
}

// BreakStreams resets the event streams and every new one, or accepts them again. Events meanwhile are lost.
func (r *Relay) BreakStreams(broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streamsBroken = broken
	if !broken {
		return
	}
	for conn := range r.streams {
		reset(conn)
		delete(r.streams, conn)
	}
}

func (r *Relay) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure == Silent
}
