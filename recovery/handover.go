package recovery

// In a handover a controller moves from one process, the predecessor, to another, the successor. The two exchange
// messages, any of which can be lost. Which process runs the controller is therefore not decided by the messages but by
// a lock, which only one process can hold and which the operating system releases when its holder exits.
//
// Invariant: a process runs the controller only while it holds the lock, so that at most one process runs it. A process
// that loses the connection to the other tries to acquire the lock. If it succeeds, the other process does not run the
// controller; if it fails, the other one does. The predecessor releases the lock only after its controller has stopped
// and its record is closed. The successor starts its controller only after it has acquired the lock.
//
// The state machines Predecessor and Successor return the next action of each process. The caller executes the action
// and passes the result to the state machine as the next event:
//
//	Predecessor
//	state         event                          action
//	serving       TakeoverRequested              SendOffer
//	offered       ReadyReceived                  StopPilot
//	offered       any other event                NoAction; the state is serving again
//	stopping      PilotStopped                   SendGo
//	released      ServingReceived                End
//	released      any other event                AcquireLock
//	reclaiming    LockAcquired                   StartPilot
//	reclaiming    LockRefused                    AcquireLock, or End after MaxLockAttempts
//
//	Successor
//	state         event                          action
//	requesting    OfferReceived                  SendReady
//	ready         GoReceived, PeerLost           AcquireLock
//	claiming      LockAcquired                   StartPilot
//	starting      PilotStarted                   SendServing
//	starting      PilotStartFailed               ReleaseLock
//	before it runs the controller, any other     End

// Event is an input of a state machine: a message from the other process, or the result of the last action.
type Event int

// The events of Predecessor and Successor.
const (
	TakeoverRequested Event = iota // predecessor: a successor has requested to take over
	ReadyReceived                  // predecessor: the successor has received the listeners and is ready to start
	PilotStopped                   // predecessor: the controller has stopped, its record is closed, the lock is released
	ServingReceived                // predecessor: the controller of the successor is running
	OfferReceived                  // successor: the listeners were received
	GoReceived                     // successor: the predecessor has stopped its controller
	PeerLost                       // the connection to the other process failed, or an answer timed out
	LockAcquired                   // this process has acquired the lock
	LockRefused                    // the lock was not acquired because another process holds it
	PilotStarted                   // the controller of this process is running
	PilotStartFailed               // the controller of this process could not be started
)

// Action is what the caller of a state machine must do next.
type Action int

// The actions that Predecessor and Successor return.
const (
	NoAction    Action = iota
	SendOffer          // predecessor: send the listeners, then wait for ReadyReceived
	StopPilot          // predecessor: stop the controller, close its record and release the lock
	SendGo             // predecessor: tell the successor that the controller has stopped, then wait for ServingReceived
	AcquireLock        // try to acquire the lock once; wait before each attempt after the first
	StartPilot         // start the controller, recovering it from the record
	SendReady          // successor: tell the predecessor that this process is ready, then wait for GoReceived
	SendServing        // successor: tell the predecessor that the controller is running; there is no answer
	ReleaseLock        // successor: release the lock and exit
	End                // exit, or in the successor abandon the takeover
)

// state is the state of a Predecessor or a Successor.
type state int

// The states of Predecessor and Successor. The zero value is that of a process that runs the controller.
const (
	stateServing    state = iota
	stateOffered          // predecessor: listeners sent, waiting for the successor to be ready
	stateStopping         // predecessor: the controller is stopping
	stateReleased         // predecessor: lock released, waiting for the successor to run the controller
	stateReclaiming       // predecessor: connection to the successor lost, trying to acquire the lock again
	stateRequesting       // successor: takeover requested, waiting for the listeners
	stateReady            // successor: listeners received, waiting for the predecessor to stop its controller
	stateClaiming         // successor: trying to acquire the lock
	stateStarting         // successor: lock acquired, the controller is starting
	stateEnded            // the process does not run the controller and will not start it
)
