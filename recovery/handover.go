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

// Act is what to do next.
type Act int

// The acts.
const (
	Nothing    Act = iota
	SayOffer       // with the listeners; then wait for ready
	StopPilot      // and its record, then let go of the claim
	SayGo          // then wait for serving
	Claim          // try once; at once the first time, then after a pause
	StartPilot     // on the record
	SayReady       // then wait for go
	SayServing     // nobody waits for an answer
	LetGo          // of the claim, and end
	End            // the process ends, or gives up what it tried
)

// state is where a side stands.
type state int

const (
	stateServing state = iota
	stateOffered
	stateStopping
	stateReleased
	stateReclaiming
	stateRequesting
	stateReady
	stateClaiming
	stateStarting
	stateEnded
)
