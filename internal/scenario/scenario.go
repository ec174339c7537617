// Package scenario reads scenario files in HCL: a fleet, the load that clients put on it and the faults that happen.
// The rehearsal plays a scenario over sockets, the emulator in virtual time. docs/rehearsal.md describes the files,
// which users know as days.
package scenario

import (
	"time"

	"indigousher/internal/config"
)

// Scenario is the content of one scenario file. The JSON keys are those of stored experiment results.
type Scenario struct {
	config.Common
	Name   string        `json:"Name"`
	About  string        `json:"About"`
	Base   string        `json:"Like"` // the scenario whose fleet, settings and load this one inherits; "": none
	Length time.Duration `json:"Length"`
	Seed   int           `json:"Seed"` // of the random draws

	// Fleet.
	PilotZones    []string      `json:"PilotZones"`   // one pilot in each
	ProxyZones    []string      `json:"ProxyZones"`   // one proxy in each
	ProxyMultiple int           `json:"Times"`        // times that the list ProxyZones is repeated
	OverGRPC      []string      `json:"OverGRPC"`     // names or patterns of the proxies that join over gRPC
	Keys          bool          `json:"Keys"`         // TLS on all streams, by an authority of the scenario's own
	Record        bool          `json:"Record"`       // pilots record their inputs and recover from them
	Standing      int           `json:"Standing"`     // endpoints in a proxy's bootstrap table
	Redial        time.Duration `json:"Redial"`       // mean backoff before a proxy connects again
	Apply         time.Duration `json:"Apply"`        // time that a proxy takes to apply one line
	EjectFor      time.Duration `json:"EjectFor"`     // time that a proxy ejects an endpoint
	Beat          time.Duration `json:"Beat"`         // heartbeat interval
	WriteWithin   time.Duration `json:"WriteWithin"`  // write deadline of a stream
	NoisyReports  float64       `json:"NoisyReports"` // relative standard deviation of load report figures
	OneWayDelay   time.Duration `json:"Way"`          // network delay between two places (emulator only)

	// Telemetry.
	IntakeLinesPerS float64  `json:"IntakeLinesPerS"` // report lines that a pilot takes in a second
	IntakeStanding  int      `json:"IntakeStanding"`  // sums that may wait for its planner
	IgnoresPace     []string `json:"Heedless"`        // proxies that ignore requests to report less

	// Endpoint list.
	ListLate  time.Duration `json:"ListLate"`  // delay of the list behind events
	ListEmpty bool          `json:"ListEmpty"` // the list is empty at the start

	// Clients.
	Rate    float64       `json:"Rate"`    // requests a second of all clients
	Retries int           `json:"Retries"` // a client's further attempts
	Backoff time.Duration `json:"Backoff"` // between a client's attempts
	Uneven  float64       `json:"Uneven"`  // standard deviation of the logarithm of the clients' relative rates
	Demands []Demand      `json:"Demands"`

	Groups []Group `json:"Groups"`
	Faults []Fault `json:"Troubles"` // sorted by At
}

// KeysPerSlice is the number of keys in a slice, in a scenario with slices.
const KeysPerSlice = 50

// Demand describes the clients' requests of one class.
type Demand struct {
	Kind  string        `json:"Kind"`  // name of the request class
	Share float64       `json:"Share"` // weight of the class among the clients' requests
	Work  time.Duration `json:"Work"`  // mean time on a core of speed 1
	CV    float64       `json:"CV"`    // coefficient of variation of the work
}

// Group describes endpoints of the same kind.
type Group struct {
	Machine        string        `json:"Machine"` // machine type
	Zone           string        `json:"Zone"`
	Count          int           `json:"Count"` // number of endpoints
	Cores          int           `json:"Cores"`
	Speed          float64       `json:"Speed"`
	Spread         float64       `json:"Spread"` // standard deviation of the logarithm of the speed
	Queue          int           `json:"Queue"`  // requests that may wait
	MaxConnections int           `json:"Conns"`
	Handshake      time.Duration `json:"Handshake"`  // work of accepting a connection
	Discipline     string        `json:"Discipline"` // disciplineQueue or disciplineSharing
	Thrash         float64       `json:"Thrash"`     // slowdown by each request beyond the cores (emulator only)
}

// Values of Group.Discipline.
const (
	disciplineQueue   = "queue"   // each request has a core, others wait
	disciplineSharing = "sharing" // all requests in flight share the cores (emulator only)
)

// defaults returns a scenario with the default settings. Rules are stricter than a pilot's defaults, because scenarios
// are short.
func defaults(name string) *Scenario {
	s := &Scenario{
		Common: config.CommonDefaults(),
		Name:   name,
		Length: 40 * time.Second,
		Seed:   1,

		ProxyMultiple: 1,
		Standing:      4,
		Redial:        300 * time.Millisecond,
		Apply:         20 * time.Microsecond,
		EjectFor:      3 * time.Second,
		Beat:          300 * time.Millisecond,
		WriteWithin:   800 * time.Millisecond,
		NoisyReports:  0.08,
		OneWayDelay:   100 * time.Microsecond,

		IntakeLinesPerS: 20_000,
		IntakeStanding:  10_000,
		ListLate:        700 * time.Millisecond,

		Rate:    100,
		Backoff: 100 * time.Millisecond,
		Uneven:  0.5,
	}
	s.Fall = time.Second
	s.Cold = 8 * time.Second
	return s
}

// newDemand returns the default demand for a request class.
func newDemand(class string) Demand {
	return Demand{Kind: class, Share: 1, Work: 30 * time.Millisecond, CV: 0.5}
}

// newGroup returns the default group of a machine type.
func newGroup(machine string) Group {
	return Group{
		Machine:        machine,
		Count:          1,
		Cores:          2,
		Speed:          1,
		Queue:          20,
		MaxConnections: 500,
		Discipline:     disciplineQueue,
	}
}
