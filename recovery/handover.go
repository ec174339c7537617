package recovery

// A controller passes from one process, the predecessor, to another, the successor, by messages that can be lost at any
// point. Who serves therefore does not follow from the messages but from a lock that only one process can hold, and
// that falls free when its holder dies.
//
// Invariant: a process runs the controller only while it holds the lock, so at most one does. Either side that loses
// the other tries the lock: if it gets it, the other does not serve; if not, the other does. A predecessor releases the
// lock only after its controller has stopped and its record is closed; a successor starts its controller only with the
// lock.
//
// The two state machines, Predecessor and Successor, say what each side does next. Whoever drives them does it and
// reports what came of it as the next event:
//
//	predecessor                                successor
//	serving     -- Asked ----> SayOffer        requesting -- Offered -------> SayReady
//	offered     -- ReadyCame > StopPilot       ready      -- GoCame, Lost --> Claim
//	stopping    -- Stopped --> SayGo           claiming   -- Claimed -------> StartPilot
//	released    -- ServingCame End             starting   -- Started -------> SayServing
//	released    -- Lost -----> Claim           any        -- anything else -> End
//	reclaiming  -- Claimed --> StartPilot
//	reclaiming  -- Refused --> Claim, End

// Event is what came of the action before.
type Event int

// The events. Claim stands for the lock.
const (
	TakeoverRequested Event = iota // predecessor: a successor requests to take over
	ReadyReceived                  // predecessor: the successor has the listeners and can start
	PilotStopped                   // predecessor: the controller has ended, its record is closed, the lock released
	ServingReceived                // predecessor: the successor serves
	OfferReceived                  // successor: the listeners came
	GoReceived                     // successor: the predecessor has stopped
	PeerLost                       // the connection broke, or an answer took too long
	LockAcquired                   // the lock was got
	LockRefused                    // another process holds the lock
	PilotStarted                   // the controller runs
	PilotStartFailed               // the controller could not be started
)

// Action is what to do next.
type Action int

// The actions.
const (
	Nothing     Action = iota
	SendOffer          // predecessor: send the listeners, then wait for ReadyCame
	StopPilot          // predecessor: end the controller, close its record, release the lock
	SendGo             // predecessor: say that it has stopped, then wait for ServingCame
	AcquireLock        // try the lock once; at once the first time, then after a pause
	StartPilot         // start the controller on the record
	SendReady          // successor: say that it can start, then wait for GoCame
	SendServing        // successor: say that it serves; nobody waits for an answer
	ReleaseLock        // release the lock, and end
	End                // the process ends, or gives up what it tried
)

// state is where a side stands.
type state int

// The states of both sides. The zero value is a process that serves.
const (
	stateServing    state = iota
	stateOffered          // predecessor: listeners sent, waits for the successor to be ready
	stateStopping         // predecessor: the controller is being stopped
	stateReleased         // predecessor: lock released, waits for the successor to serve
	stateReclaiming       // predecessor: the successor was lost, tries to get the lock again
	stateRequesting       // successor: has requested to take over, waits for the listeners
	stateReady            // successor: waits for the predecessor to stop
	stateClaiming         // successor: tries the lock
	stateStarting         // successor: has the lock, its controller is being started
	stateEnded            // this process does not serve and will not
)
