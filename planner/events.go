package planner

// Event is something that happened: what the runtime tells the planner. The set is closed; its members are the types of
// this file. Times and spans are milliseconds on the pilot's own clock. Endpoints, zones, machines, request classes,
// proxies and tables are small indices that the runtime gives.
type Event interface{ event() }

// Phase is the state of an endpoint's process as the endpoint list has it.
type Phase int

// The phases of an endpoint. A draining endpoint finishes what it has and takes nothing new; one that is gone is no
// longer listed.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Entry is one endpoint as listed. Weight is its nominal capacity relative to others, or 0 where the list says nothing.
// Started is when its process started, or 0 for the distant past; an endpoint that started lately is warming up.
type Entry struct {
	Endpoint int
	Zone     int
	Machine  int
	Cell     int
	Phase    Phase
	Weight   float64
	Started  float64
}

// UpdateMode tells how the entries of an EndpointUpdate apply to the list held so far.
type UpdateMode int

// The ways an endpoint list arrives: entries that changed; all entries, in place of those held; a cached list from
// before this start, which may be old; and no list, as the source failed.
const (
	Delta UpdateMode = iota
	Snapshot
	Cached
	UpdateFailed
)

// EndpointUpdate is a watch event of the endpoint list. Version is the list's own number.
type EndpointUpdate struct {
	Mode    UpdateMode
	Version int
	Entries []Entry
}

func (EndpointUpdate) event() {}

// TimerFired reports that a timer set with SetTimer has fired.
type TimerFired struct{ Name string }

func (TimerFired) event() {}

// HealthCheckResult is the result of one health check. Outcome is a short word such as "ok" or "timeout"; Load is the
// load report that came with the answer, if any.
type HealthCheckResult struct {
	Endpoint int     `json:"Endpoint"`
	OK       bool    `json:"OK"`
	Outcome  string  `json:"Outcome"`
	TookMs   float64 `json:"TookMs"`
	Load     Load    `json:"Load"`
}

func (HealthCheckResult) event() {}

// Load is a load report: values by name. The names are in_hand (requests in flight), waiting (queue length), util (busy
// share of the capacity, 0 to 1 and above), service_ms, rate (requests a second) and errored_rate.
type Load map[string]float64

// Gossip is a short message from another pilot.
type Gossip struct {
	From int
	Text string
}

func (Gossip) event() {}

// ProxyJoined reports that a proxy has opened its stream. Rate is how many requests a second ordinarily come to it.
// Fresh means that it holds only the static table it started with. Resumed means that the streams were not watched
// for a while and the proxy may have been joined all along: it may still use the tables it was assigned before.
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

// EndpointStats sums up what the joined proxies of a zone met at one endpoint over SpanMs: attempts, failures, the mean
// time of an answer, and the endpoint's last load report.
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

// RequestStats sums up the requests of one class that came to a proxy over SpanMs.
type RequestStats struct {
	Proxy      int     `json:"Proxy"`
	Class      int     `json:"Kind"`
	Requests   int     `json:"Reqs"`
	Unanswered int     `json:"Unanswered"`
	SpanMs     float64 `json:"SpanMs"`
}

func (RequestStats) event() {}

// SliceStats sums up the requests of one class that came for the keys of a slice over SpanMs.
type SliceStats struct {
	Slice      int     `json:"Slice"`
	Class      int     `json:"Kind"`
	Requests   int     `json:"Reqs"`
	Unanswered int     `json:"Unanswered"`
	SpanMs     float64 `json:"SpanMs"`
}

func (SliceStats) event() {}

// SliceAssignment reports that this pilot has become responsible for a slice, or no longer is.
type SliceAssignment struct {
	Slice    int
	Assigned bool
}

func (SliceAssignment) event() {}

// SliceWeight is one stored weight of a slice that was just assigned.
type SliceWeight struct {
	Slice    int
	Endpoint int
	Weight   float64
}

func (SliceWeight) event() {}

// Ack acknowledges an AckRequest: the proxy has applied everything that was sent to it before.
type Ack struct {
	Proxy  int
	Number int
	TookMs float64
}

func (Ack) event() {}

// ChannelStalled reports that the channel to the proxies has taken no commands for so long or, with ForMs 0, that it
// takes them again. Commands made meanwhile wait before it and may go out as one call.
type ChannelStalled struct {
	ForMs    float64
	Repeated []int // numbers of the ack requests in a call whose outcome is unknown and that is sent again
	Merged   []int // numbers of the ack requests in calls that go out as one, under the newest of them
}

func (ChannelStalled) event() {}
