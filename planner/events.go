package planner

// Event is an input of the planner, sent by the runtime. Only the types of this file implement it. Times and spans are
// in milliseconds on the pilot's clock. Endpoints, zones, machine types, request classes, proxies and tables are
// identified by small indices that the runtime assigns.
type Event interface{ event() }

// Phase is the state of an endpoint's process according to the endpoint list.
type Phase int

// The phases of an endpoint. A draining endpoint finishes its current requests and should get no new ones. An endpoint
// that is gone is no longer listed.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Entry describes one endpoint of the endpoint list. Weight is its nominal capacity relative to other endpoints; 0
// means unspecified. Started is the time at which its process started, in ms; 0 means long ago. An endpoint that
// started recently is warming up. Reassigned is true in the first entry of an endpoint whose index may have belonged to
// another endpoint, or which may have had another index: what is known about the index does not concern this endpoint,
// and it may still be excluded under its earlier index.
type Entry struct {
	Endpoint int
	Zone     int
	Machine  int
	Cell     int
	Phase    Phase
	Weight   float64
	Started  float64

	Reassigned bool
}

// UpdateMode defines how the entries of an EndpointUpdate apply to the list received so far.
type UpdateMode int

// The modes of an endpoint list update.
const (
	Delta        UpdateMode = iota // only the entries that changed
	Snapshot                       // the complete list, which replaces the previous one
	Cached                         // a complete list stored by an earlier run of the pilot, possibly out of date
	UpdateFailed                   // no list, because its source failed
)

// EndpointUpdate reports a change of the endpoint list. Version is the version number that its source gives the list.
type EndpointUpdate struct {
	Mode    UpdateMode
	Version int
	Entries []Entry
}

func (EndpointUpdate) event() {}

// TimerFired reports that a timer set with SetTimer has fired.
type TimerFired struct{ Name string }

func (TimerFired) event() {}

// HealthCheckResult is the result of one health check. OK is whether it succeeded, Outcome a short word such as "ok" or
// "timeout", TookMs its duration in ms, and Load the load report in the response; nil means none.
type HealthCheckResult struct {
	Endpoint int     `json:"Endpoint"`
	OK       bool    `json:"OK"`
	Outcome  string  `json:"Outcome"`
	TookMs   float64 `json:"TookMs"`
	Load     Load    `json:"Load"`
}

func (HealthCheckResult) event() {}

// Load is a load report: values by name. The names are in_hand (requests in flight), waiting (queue length), util
// (utilization as a fraction of the capacity, may exceed 1), service_ms (service time of a request), rate (requests
// per second) and errored_rate (failed requests per second).
type Load map[string]float64

// Gossip is a short text message from another pilot.
type Gossip struct {
	From int
	Text string
}

func (Gossip) event() {}

// ProxyJoined reports that a proxy has opened its stream. Rate is its ordinary demand in requests per second. Fresh
// means that it holds only the static table it started with. Resumed means that the pilot missed events for a while, so
// the proxy may have been joined all along and may still use the tables it was assigned before.
type ProxyJoined struct {
	Proxy   int
	Zone    int
	Rate    float64
	Fresh   bool
	Resumed bool
}

func (ProxyJoined) event() {}

// ProxyLeft reports that a proxy's stream has ended.
type ProxyLeft struct{ Proxy int }

func (ProxyLeft) event() {}

// EndpointStats summarizes the attempts of a zone's joined proxies at one endpoint over the last SpanMs: the number of
// attempts and of failed ones, the mean response time in ms (0 means unknown), and the endpoint's latest load report.
type EndpointStats struct {
	Endpoint int     `json:"Endpoint"`
	Zone     int     `json:"Zone"`
	Attempts int     `json:"Tries"`
	Failed   int     `json:"Failed"`
	MeanMs   float64 `json:"MeanMs"`
	SpanMs   float64 `json:"SpanMs"`
	Load     Load    `json:"Load"`
}

func (EndpointStats) event() {}

// RequestStats summarizes the requests of one class that a proxy received over the last SpanMs. Unanswered is how many
// of them got no answer.
type RequestStats struct {
	Proxy      int     `json:"Proxy"`
	Class      int     `json:"Kind"`
	Requests   int     `json:"Reqs"`
	Unanswered int     `json:"Unanswered"`
	SpanMs     float64 `json:"SpanMs"`
}

func (RequestStats) event() {}

// SliceStats summarizes the requests of one class for the keys of a slice over the last SpanMs. Unanswered is how many
// of them got no answer.
type SliceStats struct {
	Slice      int     `json:"Slice"`
	Class      int     `json:"Kind"`
	Requests   int     `json:"Reqs"`
	Unanswered int     `json:"Unanswered"`
	SpanMs     float64 `json:"SpanMs"`
}

func (SliceStats) event() {}

// SliceAssignment reports that this pilot has become responsible for a slice (Assigned) or has ceased to be.
type SliceAssignment struct {
	Slice    int
	Assigned bool
}

func (SliceAssignment) event() {}

// SliceWeight is one stored weight of a slice that has just been assigned to this pilot.
type SliceWeight struct {
	Slice    int
	Endpoint int
	Weight   float64
}

func (SliceWeight) event() {}

// Ack reports that a proxy has acknowledged the AckRequest with this number: it has applied everything that was sent to
// it before the request. TookMs is the time in ms that this took the proxy from the arrival of the request.
type Ack struct {
	Proxy  int
	Number int
	TookMs float64
}

func (Ack) event() {}

// ChannelStalled reports that the channel to the proxies has accepted no commands for ForMs milliseconds or, if ForMs
// is 0, that it accepts them again. Commands issued in the meantime are queued and may be sent in one call.
type ChannelStalled struct {
	ForMs    float64
	Repeated []int // numbers of the ack requests in a call that is sent again because its outcome is unknown
	Merged   []int // numbers of the ack requests in calls that are sent as one call, under the newest of these numbers
}

func (ChannelStalled) event() {}
