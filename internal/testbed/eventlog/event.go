package eventlog

// What is the type of an event.
type What string

// Event types. Each comment lists the fields of Event that the type uses in addition to At, Who and What. The strings
// are part of the format of saved logs.
const (
	// Start: a process started (N number of the start, Text zone; for endpoints also Value capacity, Kind cold or
	// warm).
	Start What = "start"
	// Stop: a process was stopped.
	Stop What = "stop"

	// Events of a proxy on its stream to a pilot.

	// Join: a pilot accepted the proxy (Peer pilot, Kind zone of the proxy).
	Join What = "join"
	// Leave: the stream to the pilot ended (Peer pilot).
	Leave What = "leave"
	// Got: a message with commands arrived (Peer pilot, N lines, Value time in the pilot's channel in ms, Since time at
	// which the pilot issued the commands).
	Got What = "message"
	// Lines: the number of endpoints that requests of a class can be sent to changed (Kind class, N new number).
	Lines What = "lines"

	// Events of a proxy that concern requests.

	// Send: an attempt was sent (Peer endpoint, Kind class, Req, Text key, N number of the attempt).
	Send What = "send"
	// Refuse: a request was rejected (Kind class, Req, Text reason).
	Refuse What = "refuse"

	// Events of an endpoint.

	// Arrive: an attempt arrived (Peer proxy, Kind class, Req, Value work in ms).
	Arrive What = "arrive"
	// Effect: a request with side effects was executed (Peer proxy, Kind class, Req).
	Effect What = "effect"
	// Fell: the endpoint was overloaded during its warm-up and stopped answering (N number of the start, Value received
	// work as a fraction of the budget).
	Fell What = "fell"

	// Events of the source of the endpoint list.

	// Told: an entry of the endpoint list was sent to a pilot (Peer pilot, Text endpoint, Kind zone and machine type, N
	// phase, Value age in ms or -1 if unknown). An N of -1 marks the start of a complete list instead.
	Told What = "told"
	// Given: a slice was assigned to an endpoint (Peer endpoint, N slice, Text first key of the slice).
	Given What = "given"

	// Events of the network.

	// Cut: the network stopped delivering data to and from a zone (Text) or a place (Peer).
	Cut What = "cut"
	// Mended: the network delivers data to and from a zone (Text) or a place (Peer) again.
	Mended What = "mended"

	// Events of the clients.

	// Asked: a client sent a request (Kind class, Req).
	Asked What = "asked"
	// Answered: a request finished, including retries (Kind class, Req, Value duration in ms, Text outcome).
	Answered What = "answered"

	// Events of the rehearsal.

	// Note: the rehearsal performed an action (Text description).
	Note What = "note"
)

// Event is one entry of an event log. Zero fields are omitted from saved logs, except At, Who and What.
type Event struct {
	At    float64 `json:"at"`  // time since the start of the log, in ms
	Who   string  `json:"who"` // part of the testbed that logged the event
	What  What    `json:"what"`
	Peer  string  `json:"peer,omitempty"`
	Kind  string  `json:"kind,omitempty"`
	Req   uint64  `json:"req,omitempty"` // ID of the request, shared by all its attempts
	N     int     `json:"n,omitempty"`
	Value float64 `json:"value,omitempty"`
	Since float64 `json:"since,omitempty"` // time on the peer's clock, in ms
	Text  string  `json:"text,omitempty"`
}
