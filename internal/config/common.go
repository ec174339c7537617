package config

import (
	"time"

	"indigousher/internal/wire"
)

// Common holds the settings that all instances share, and that a scenario holds too. A reload reports these field names
// to users, and the JSON keys are those of stored experiment results: both keep their spelling and order.
type Common struct {
	Zones    []string       `json:"Zones"`
	Machines []string       `json:"Machines"` // machine types
	Kinds    []RequestClass `json:"Kinds"`

	// Channel to the proxies. A line is one operation of a message.
	LinesPerS    float64       `json:"LinesPerS"`    // rate limit for all proxies together, heads included
	Backlog      float64       `json:"Backlog"`      // lines that may wait
	HeadLines    int           `json:"HeadLines"`    // cost of a message besides its lines, in lines
	MessagesMost int           `json:"MessagesMost"` // messages to one proxy within MessagesOver; 0: no limit
	MessagesOver time.Duration `json:"MessagesOver"`

	// Rules that the auditor checks.
	DrainGrace   time.Duration `json:"DrainGrace"`   // within which proxies stop using an endpoint that drains
	BareFor      time.Duration `json:"BareFor"`      // for which a proxy may have no endpoint of a class
	Cold         time.Duration `json:"Cold"`         // slow start: within which an endpoint warms up
	Fall         time.Duration `json:"Fall"`         // window in which work beyond FallMultiple overloads an endpoint
	ColdFrom     float64       `json:"ColdFrom"`     // fraction of its capacity that a cold endpoint starts with
	FallMultiple float64       `json:"FallMultiple"` // multiple of its capacity that overloads an endpoint

	// Behaviour of the proxies.
	Proxies     int     `json:"Proxies"`     // number of proxies of all instances together
	Slices      int     `json:"Slices"`      // number of key slices; 0: a deployment without slices
	ByZone      bool    `json:"ByZone"`      // proxies join a pilot of their zone if there is one
	EjectsAfter int     `json:"EjectsAfter"` // consecutive failures after which a proxy ejects an endpoint; 0: never
	RetryHow    int     `json:"RetryHow"`    // default retry policy, one of the retry constants
	FirstWait   float64 `json:"FirstWait"`   // timeout of an attempt that may be retried, as a fraction of ResponseTarget
	Admission   string  `json:"Admission"`   // admissionShare or admissionOff
	Pick        string  `json:"Pick"`        // load balancing of the proxies: weighted, round or two

	// Reports of the proxies.
	Fields          []string      `json:"Fields"`          // names of the figures in load reports
	Period          time.Duration `json:"Period"`          // reporting interval
	ReportLinesPerS int           `json:"ReportLinesPerS"` // report lines a second for the planner; 0: no limit

	CrossZone  float64 `json:"CrossZone"`  // cost of a request across zones, as a fraction of a payoff of 1
	Probing    bool    `json:"Probing"`    // endpoints may be health-checked
	AskForList bool    `json:"AskForList"` // the endpoint list is polled, not pushed
	Instances  int     `json:"Instances"`  // number of pilots
}

// Values of Common.RetryHow, as the proxies number them.
const (
	retryNever        = 0
	retryIfNothingRan = 1 // after proof that the request was not executed
	retryTwice        = 3 // after any failure; 2 is once after any failure
)

// Values of Common.Admission.
const (
	admissionShare = "share"
	admissionOff   = "off" // admission levels are ignored
)

const (
	// maxProxies bounds the number of proxies of a deployment.
	maxProxies = 65535

	// maxRank bounds the rank of a pilot among the instances.
	maxRank = 65535
)

// CommonDefaults returns the default common settings.
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
		RetryHow:    retryIfNothingRan,
		FirstWait:   1,
		Admission:   admissionShare,
		Pick:        "weighted",

		Fields:    []string{"util", "rate"},
		Period:    time.Second,
		CrossZone: 0.1,
		Instances: 1,
	}
}

// Attributes lists the attributes outside any block.
func (c *Common) Attributes() []Field {
	return []Field{
		{Name: "zones", Into: &c.Zones, Required: true},
		{Name: "machines", Into: &c.Machines, Required: true},
	}
}

// Blocks lists the blocks of the common settings.
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
