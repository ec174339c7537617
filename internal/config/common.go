package config

import (
	"time"

	"indigousher/internal/wire"
)

// Common holds the settings that all pilots of a deployment share; a scenario contains them too. The field names are
// shown to users by a reload, and the JSON keys are part of stored experiment results. Both must keep their spelling
// and order.
type Common struct {
	Zones    []string       `json:"Zones"`
	Machines []string       `json:"Machines"` // machine types
	Kinds    []RequestClass `json:"Kinds"`    // request classes

	// Channel: messages to the proxies. A message consists of lines; each line is one operation.
	LinesPerS    float64       `json:"LinesPerS"`    // limit in lines per second, for all proxies together
	Backlog      float64       `json:"Backlog"`      // maximum number of queued lines
	HeadLines    int           `json:"HeadLines"`    // fixed cost of each message in lines, counted against LinesPerS
	MessagesMost int           `json:"MessagesMost"` // maximum messages to one proxy in MessagesOver; 0: no limit
	MessagesOver time.Duration `json:"MessagesOver"` // window for MessagesMost

	// Limits in the rules that the auditor checks.
	DrainGrace   time.Duration `json:"DrainGrace"`   // time within which proxies must stop using a draining endpoint
	BareFor      time.Duration `json:"BareFor"`      // maximum time without an endpoint for a request class, per proxy
	Cold         time.Duration `json:"Cold"`         // slow start: time in which a new endpoint reaches full capacity
	Fall         time.Duration `json:"Fall"`         // time window over which FallMultiple is measured
	ColdFrom     float64       `json:"ColdFrom"`     // fraction of its capacity with which a cold endpoint starts
	FallMultiple float64       `json:"FallMultiple"` // multiple of its capacity at which an endpoint is overloaded

	// Behaviour of the proxies.
	Proxies     int     `json:"Proxies"`     // number of proxies of all pilots together
	Slices      int     `json:"Slices"`      // number of slices of the key space; 0: requests are not routed by key
	ByZone      bool    `json:"ByZone"`      // proxies connect to a pilot in their own zone if there is one
	EjectsAfter int     `json:"EjectsAfter"` // consecutive failures after which a proxy ejects an endpoint; 0: never
	RetryHow    int     `json:"RetryHow"`    // default retry policy: retryNever to retryTwice
	FirstWait   float64 `json:"FirstWait"`   // timeout of an attempt that may be retried, as a fraction of ResponseTarget
	Admission   string  `json:"Admission"`   // admission control: admissionShare or admissionOff
	Pick        string  `json:"Pick"`        // load balancing policy of the proxies: weighted, round or two

	// Load reports of the proxies.
	Fields          []string      `json:"Fields"`          // names of the values in load reports
	Period          time.Duration `json:"Period"`          // reporting interval
	ReportLinesPerS int           `json:"ReportLinesPerS"` // limit of report lines per second for the planner; 0: none

	CrossZone  float64 `json:"CrossZone"`  // cost of a request to another zone; the default payoff is 1
	Probing    bool    `json:"Probing"`    // whether the planner may request health checks of endpoints
	AskForList bool    `json:"AskForList"` // whether the endpoint list is polled; false: it is pushed
	Instances  int     `json:"Instances"`  // number of pilots
}

// Values of Common.RetryHow. The numbers are part of the protocol with the proxies.
const (
	retryNever         = 0 // no retries
	retryIfNotExecuted = 1 // one retry, only if the request is known not to have been executed
	retryTwice         = 3 // two retries after any failure; the value 2 allows one
)

// Values of Common.Admission.
const (
	admissionShare = "share" // proxies admit the share of requests that the planner assigns
	admissionOff   = "off"   // proxies ignore admission levels
)

const (
	// maxProxies is the maximum number of proxies of a deployment.
	maxProxies = 65535

	// maxRank is the maximum rank of a pilot.
	maxRank = 65535
)

// CommonDefaults returns the default values of the common settings. There are no defaults for zones, machine types and
// request classes.
func CommonDefaults() Common {
	return Common{
		LinesPerS:    4000,
		Backlog:      6000,
		HeadLines:    4,
		MessagesMost: 30,
		MessagesOver: 10 * time.Second,

		DrainGrace:   2 * time.Second,
		BareFor:      3 * time.Second,
		Cold:         15 * time.Second,
		ColdFrom:     0.2,
		Fall:         1500 * time.Millisecond,
		FallMultiple: 3,

		Proxies:     1,
		EjectsAfter: 5,
		RetryHow:    retryIfNotExecuted,
		FirstWait:   1,
		Admission:   admissionShare,
		Pick:        "weighted",

		Fields:    []string{"util", "rate"},
		Period:    time.Second,
		CrossZone: 0.1,
		Instances: 1,
	}
}

// Attributes returns the top-level attributes of the common settings: those outside any block.
func (c *Common) Attributes() []Field {
	return []Field{
		{Name: "zones", Into: &c.Zones, Required: true},
		{Name: "machines", Into: &c.Machines, Required: true},
	}
}

// Blocks returns the blocks of the common settings.
func (c *Common) Blocks() []Block {
	return []Block{
		{Name: requestClassBlock, Labels: 1, Max: maxRequestClasses, Read: c.readRequestClass},
		c.channelBlock(),
		c.rulesBlock(),
		c.proxiesBlock(),
		c.reportsBlock(),
		SingleBlock("prices", Field{Name: "cross_zone", Into: &c.CrossZone, Max: 10}),
	}
}

func (c *Common) channelBlock() Block {
	return SingleBlock("channel",
		Field{Name: "lines_per_s", Into: &c.LinesPerS, Min: 1},
		Field{Name: "backlog", Into: &c.Backlog, Min: 1},
		Field{Name: "head_lines", Into: &c.HeadLines, Max: 1000},
		Field{Name: "messages_most", Into: &c.MessagesMost, Max: 1e6},
		Field{Name: "messages_over", Into: &c.MessagesOver, Min: 0.1},
	)
}

func (c *Common) rulesBlock() Block {
	return SingleBlock("rules",
		Field{Name: "drain_grace", Into: &c.DrainGrace, Min: 0.1},
		Field{Name: "bare_for", Into: &c.BareFor, Min: 0.1},
		Field{Name: "cold", Into: &c.Cold},
		Field{Name: "cold_from", Into: &c.ColdFrom, Min: 0.001, Max: 1},
		Field{Name: "fall", Into: &c.Fall, Min: 0.05},
		Field{Name: "fall_multiple", Into: &c.FallMultiple, Min: 1},
	)
}

func (c *Common) proxiesBlock() Block {
	return SingleBlock("proxies",
		Field{Name: "count", Into: &c.Proxies, Min: 1, Max: maxProxies},
		Field{Name: "slices", Into: &c.Slices, Max: wire.AllTables - 1},
		Field{Name: "by_zone", Into: &c.ByZone},
		Field{Name: "ejects_after", Into: &c.EjectsAfter},
		Field{Name: "try_again", Into: &c.RetryHow, Min: retryNever, Max: retryTwice},
		Field{Name: "first_wait", Into: &c.FirstWait},
		Field{Name: "admission", Into: &c.Admission, OneOf: []string{admissionShare, admissionOff}},
		Field{Name: "pick", Into: &c.Pick, OneOf: []string{"weighted", "round", "two"}},
	)
}

func (c *Common) reportsBlock() Block {
	return SingleBlock("reports",
		Field{Name: "fields", Into: &c.Fields},
		Field{Name: "period", Into: &c.Period, Min: 0.05},
		Field{Name: "lines_per_s", Into: &c.ReportLinesPerS},
		Field{Name: "probing", Into: &c.Probing},
	)
}
