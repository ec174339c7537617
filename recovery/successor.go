package recovery

// New is the side of the process that takes over. Its zero value is of no use: NewSide makes one that has asked.
type New struct{ at step }

// NewSide returns the machine of a process that has asked to take over.
func NewSide() *New { return &New{asking} }

// Next takes in an event and returns what to do.
func (n *New) Next(e Event) Act {
	switch {
	case n.at == asking && e == Offered:
		n.at = ready
		return SayReady
	case n.at == ready && (e == GoCame || e == Lost): // a lost one may have stopped or died; if not, it has the claim
		n.at = claiming
		return Claim
	case n.at == claiming && e == Claimed:
		n.at = starting
		return StartPilot
	case n.at == starting && e == Started:
		n.at = serving
		return SayServing
	case n.at == starting && e == Failed:
		n.at = over
		return LetGo
	case n.at == serving: // lost or not: it has the claim
		return Nothing
	}
	n.at = over
	return End
}
