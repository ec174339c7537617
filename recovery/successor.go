package recovery

// New is the side of the process that takes over. Its zero value is of no use: NewSide makes one that has asked.
type New struct{ state state }

// NewSide returns the machine of a process that has asked to take over.
func NewSide() *New { return &New{stateRequesting} }

// Next takes in an event and returns what to do.
func (n *New) Next(e Event) Act {
	switch {
	case n.state == stateRequesting && e == Offered:
		n.state = stateReady
		return SayReady
	case n.state == stateReady && (e == GoCame || e == Lost): // a lost one may have stopped or died; if not, it has the claim
		n.state = stateClaiming
		return Claim
	case n.state == stateClaiming && e == Claimed:
		n.state = stateStarting
		return StartPilot
	case n.state == stateStarting && e == Started:
		n.state = stateServing
		return SayServing
	case n.state == stateStarting && e == Failed:
		n.state = stateEnded
		return LetGo
	case n.state == stateServing: // lost or not: it has the claim
		return Nothing
	}
	n.state = stateEnded
	return End
}
