package relay

// Failure is a failure mode of the relay.
type Failure int

const (
	// None means normal operation.
	None Failure = iota
	// Silent means that the relay neither answers calls nor publishes events.
	Silent
	// Unreadable means that the relay answers calls with invalid JSON.
	Unreadable
	// Resetting means that the relay reads each call and then resets its connection.
	Resetting
)

// Fail sets the failure mode until Recover. During the failure, the n-th call with commands, counted from 1, is
// nevertheless executed if executes(n) returns true.
func (r *Relay) Fail(failure Failure, executes func(n int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = failure
	r.executes = executes
	r.calls = 0
}

// Recover ends the failure mode set by Fail. If it was Silent, all connections are reset, as after a restart.
func (r *Relay) Recover() {
	r.mu.Lock()
	ended := r.failure
	r.failure = None
	r.mu.Unlock()
	if ended == Silent {
		r.resetAll()
	}
}

// BreakStreams resets all open event streams and every new one, or accepts new streams again if broken is false. Events
// published while streams are broken are lost.
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
