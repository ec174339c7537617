package recovery

// A pilot passes from one process to another by messages that can be lost at any point, so who serves does not follow
// from them but from a claim that only one process can hold and that falls free when its holder dies. The two machines
// below say what each side does next; who drives them does it and tells what came of it.

// Event is what came of the act before.
type Event int

// The events.
const (
	Asked     Event = iota // the old one: somebody wants to take over
	ReadyCame              // the new one is ready
	Stopped                // the pilot has ended, its record is closed, the claim let go
	ServingCame
	Offered // the new one: listeners came
	GoCame
	Lost    // the connection broke, or an answer took too long
	Claimed // the claim was got
	Refused // another holds it
	Started // the pilot runs
	Failed  // it could not be started
)

// Action is what to do next.
type Action int

// The acts.
const (
	Nothing    Action = iota
	SayOffer          // with the listeners; then wait for ready
	StopPilot         // and its record, then let go of the claim
	SayGo             // then wait for serving
	Claim             // try once; at once the first time, then after a pause
	StartPilot        // on the record
	SayReady          // then wait for go
	SayServing        // nobody waits for an answer
	LetGo             // of the claim, and end
	End               // the process ends, or gives up what it tried
)

// step is where a side stands.
type step int

const (
	serving step = iota
	offered
	stopping
	let
	reclaiming
	asking
	ready
	claiming
	starting
	over
)

// Predecessor is the side of the process that runs. Its zero value serves.
type Predecessor struct {
	at    step
	tries int
	// Patience is how often the claim is tried after the new one was lost. If another holds it all the while, that one
	// serves.
	Patience int
}

// Replaced returns whether the other process serves now.
func (o *Predecessor) Replaced() bool { return o.at == over }

// Next takes in an event and returns what to do.
func (o *Predecessor) Next(e Event) Action {
	switch {
	case o.at == serving && e == Asked:
		o.at = offered
		return SayOffer
	case o.at == offered && e == ReadyCame:
		o.at = stopping
		return StopPilot
	case o.at == offered: // the new one gave up before anything was stopped
		o.at = serving
		return Nothing
	case o.at == stopping && e == Stopped:
		o.at = let
		return SayGo
	case o.at == let && e == ServingCame:
		o.at = over
		return End
	case o.at == let: // whether it serves or died only the claim can tell
		o.at, o.tries = reclaiming, 0
		return Claim
	case o.at == reclaiming && e == Claimed:
		o.at = serving
		return StartPilot
	case o.at == reclaiming && e == Refused:
		if o.tries++; o.tries < o.Patience {
			return Claim
		}
		o.at = over
		return End
	}
	return Nothing
}

// Successor is the side of the process that takes over. Its zero value is of no use: NewSide makes one that has asked.
type Successor struct{ at step }

// NewSuccessor returns the machine of a process that has asked to take over.
func NewSuccessor() *Successor { return &Successor{asking} }

// Next takes in an event and returns what to do.
func (n *Successor) Next(e Event) Action {
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
