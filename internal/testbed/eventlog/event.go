package eventlog

// What names an event.
type What string

// Events. The comments name the fields that count beside At and Who. The strings are those of saved logs.
const (
	// Start: a process began (N number of the start, Text zone; endpoints also Value capacity, Kind cold or warm).
	Start What = "start"
	// Stop: a process ended.
	Stop What = "stop"

	// A proxy and its pilot.

	Join  What = "join"    // the pilot welcomed the proxy (Peer pilot, Kind the proxy's zone)
	Leave What = "leave"   // the stream ended (Peer pilot)
	Got   What = "message" // commands arrived (Peer pilot, N lines, Value ms in the pilot's channel, Since when commanded)
	Lines What = "lines"   // how many lines a class can be sent by has changed (Kind class, N)

	// A proxy and its requests.

	Send   What = "send"   // an attempt left (Peer endpoint, Kind class, Req, Text key, N attempt)
	Refuse What = "refuse" // a request was rejected (Kind class, Req, Text why)

	// An endpoint.

	Arrive What = "arrive" // an attempt arrived (Peer proxy, Kind class, Req, Value work in ms)
	Effect What = "effect" // a request took effect (Peer proxy, Kind class, Req)
	Fell   What = "fell"   // overloaded while it warmed up (N number of the start, Value fraction of the budget)

	// Told: a pilot was told of an endpoint (Peer pilot, Text endpoint, Kind zone and machine kind, N phase, Value age
	// in ms, -1: unknown), or that a whole list begins (N -1).
	Told What = "told"
	// Given: a slice was assigned to an endpoint (Peer endpoint, N slice, Text its first key).
	Given What = "given"

	// The network.

	Cut    What = "cut"    // no data passes to and from a zone (Text) or a place (Peer) any longer
	Mended What = "mended" // it passes again

	// Clients.

	Asked    What = "asked"    // a request was sent (Kind class, Req)
	Answered What = "answered" // it ended, retries included (Kind class, Req, Value ms, Text outcome)

	// The rehearsal.

	Note What = "note" // something was done (Text)
)

// Event is one line of a log.
type Event struct {
	At    float64 `json:"at"`  // ms since the log began
	Who   string  `json:"who"` // saw it
	What  What    `json:"what"`
	Peer  string  `json:"peer,omitempty"`
	Kind  string  `json:"kind,omitempty"`
	Req   uint64  `json:"req,omitempty"` // number of the request, the same for all its attempts
	N     int     `json:"n,omitempty"`
	Value float64 `json:"value,omitempty"`
	Since float64 `json:"since,omitempty"` // ms, on the peer's clock
	Text  string  `json:"text,omitempty"`
}
