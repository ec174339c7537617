// Package scenario reads scenario files in HCL. A scenario describes a fleet, the load from its clients and the
// faults that are injected. The rehearsal runs a scenario over sockets, the emulator in virtual time. The file
// format is documented in docs/rehearsal.md, which calls scenarios days.
package scenario

import (
	"time"

	"indigousher/internal/config"
)

// Scenario is the content of one scenario file. The JSON keys are part of the stored experiment results and must not
// change.
type Scenario struct {
	config.Common
	Name   string        `json:"Name"`   // base name of the file without extension
	About  string        `json:"About"`  // description, for users
	Base   string        `json:"Like"`   // scenario from which fleet, settings and load are inherited; "": none
	Length time.Duration `json:"Length"` // duration of the run
	Seed   int           `json:"Seed"`   // seed of all random numbers

	// Fleet.
	PilotZones         []string      `json:"PilotZones"`   // zone of each pilot
	ProxyZones         []string      `json:"ProxyZones"`   // zone of each proxy
	ProxyMultiple      int           `json:"Times"`        // number of repetitions of the list ProxyZones
	OverGRPC           []string      `json:"OverGRPC"`     // names or patterns of the proxies that connect over gRPC
	Keys               bool          `json:"Keys"`         // use TLS, with a certificate authority created for the run
	Record             bool          `json:"Record"`       // pilots record their inputs and use the record to recover
	BootstrapEndpoints int           `json:"Standing"`     // number of endpoints in a proxy's static table
	RedialDelay        time.Duration `json:"Redial"`       // mean backoff before a proxy connects again
	ApplyTimePerLine   time.Duration `json:"Apply"`        // time that a proxy takes to apply one line
	EjectFor           time.Duration `json:"EjectFor"`     // time for which a proxy ejects a failing endpoint
	HeartbeatInterval  time.Duration `json:"Beat"`         // heartbeat interval
	WriteTimeout       time.Duration `json:"WriteWithin"`  // write deadline of a stream
	ReportNoise        float64       `json:"NoisyReports"` // relative standard deviation of load report figures
	OneWayDelay        time.Duration `json:"Way"`          // one-way network delay (emulator only)

	// Telemetry.
	IntakeLinesPerS float64  `json:"IntakeLinesPerS"` // load report lines that a pilot processes per second
	IntakeStanding  int      `json:"IntakeStanding"`  // aggregated load values that may wait for the planner
	IgnoresPace     []string `json:"Heedless"`        // names of the proxies that ignore requests to report less

	// Endpoint list.
	ListDelay time.Duration `json:"ListLate"`  // delay between a change and its appearance in the list
	ListEmpty bool          `json:"ListEmpty"` // the list is empty at the start

	// Clients.
	Rate             float64       `json:"Rate"`    // requests per second of all clients
	Retries          int           `json:"Retries"` // maximum number of retries by a client for each request
	Backoff          time.Duration `json:"Backoff"` // minimum delay between a client's attempts
	ClientRateSpread float64       `json:"Uneven"`  // standard deviation of the logarithm of the clients' relative rates
	Demands          []Demand      `json:"Demands"` // one for each request class that clients send

	Groups []Group `json:"Groups"`   // endpoints of the fleet
	Faults []Fault `json:"Troubles"` // sorted by At
}

// KeysPerSlice is the number of keys in a slice, in a scenario with slices.
const KeysPerSlice = 50

// Demand describes the clients' requests of one class.
type Demand struct {
	Class string        `json:"Kind"`  // name of the request class
	Share float64       `json:"Share"` // weight of the class among the clients' requests
	Work  time.Duration `json:"Work"`  // mean processing time on a core of speed 1
	CV    float64       `json:"CV"`    // coefficient of variation of the processing time
}

// Group describes endpoints of the same kind.
type Group struct {
	Machine          string        `json:"Machine"`    // machine type
	Zone             string        `json:"Zone"`       // zone of the endpoints
	Count            int           `json:"Count"`      // number of endpoints
	Cores            int           `json:"Cores"`      // cores of each endpoint
	Speed            float64       `json:"Speed"`      // work done per unit of time on one core; 1: nominal
	SpeedSpread      float64       `json:"Spread"`     // standard deviation of the logarithm of the endpoints' speed
	Queue            int           `json:"Queue"`      // requests that may wait for a core; more are rejected
	MaxConnections   int           `json:"Conns"`      // connections that an endpoint accepts
	Handshake        time.Duration `json:"Handshake"`  // work of accepting a connection
	Discipline       string        `json:"Discipline"` // disciplineQueue or disciplineSharing
	OverloadSlowdown float64       `json:"Thrash"`     // relative slowdown per request beyond the cores (emulator only)
}

// Values of Group.Discipline.
const (
	disciplineQueue   = "queue"   // each request occupies one core; further requests wait
	disciplineSharing = "sharing" // all requests in flight share the cores (emulator only)
)

// defaults returns a scenario with the default settings. The times Fall and Cold are shorter than a pilot's
// defaults, because scenarios are short.
func defaults(name string) *Scenario {
	s := &Scenario{
		Common: config.CommonDefaults(),
		Name:   name,
		Length: 40 * time.Second,
		Seed:   1,

		ProxyMultiple:      1,
		BootstrapEndpoints: 4,
		RedialDelay:        300 * time.Millisecond,
		ApplyTimePerLine:   20 * time.Microsecond,
		EjectFor:           3 * time.Second,
		HeartbeatInterval:  300 * time.Millisecond,
		WriteTimeout:       800 * time.Millisecond,
		ReportNoise:        0.08,
		OneWayDelay:        100 * time.Microsecond,

		IntakeLinesPerS: 20_000,
		IntakeStanding:  10_000,
		ListDelay:       700 * time.Millisecond,

		Rate:             100,
		Backoff:          100 * time.Millisecond,
		ClientRateSpread: 0.5,
	}
	s.Fall = time.Second
	s.Cold = 8 * time.Second
	return s
}

// newDemand returns the default demand for a request class.
func newDemand(class string) Demand {
	return Demand{Class: class, Share: 1, Work: 30 * time.Millisecond, CV: 0.5}
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
