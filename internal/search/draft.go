package search

import (
	"fmt"
	"slices"
	"time"

	"indigousher/internal/scenario"
)

// Draft is a randomly generated scenario, reduced to the settings that the search varies. Text converts it to a
// scenario file.
type Draft struct {
	Seed   int           // from which Draw generated the draft; also the seed of the scenario
	Length time.Duration // duration of the scenario

	// Fleet.
	Endpoints   int     // in each zone
	Proxies     int     // in each zone
	Pilots      int     // in all zones
	ByZone      bool    // proxies dial a pilot of their own zone first
	Record      bool    // pilots record their inputs and use the record to recover
	Queue       int     // requests that may wait at an endpoint
	SpeedSpread float64 // standard deviation of the logarithm of the endpoints' speed

	// Load.
	Load         float64 // request rate as a fraction of the fleet's capacity
	DemandSpread float64 // standard deviation of the logarithm of the proxies' request rates
	RetryMode    int     // retry policy of proxies until a pilot sets one
	Retries      int     // maximum number of retries by a client for each request

	// Endpoint list, load reports and channel.
	ListDelay    time.Duration // delay between a change and its appearance in the endpoint list
	ReportPeriod time.Duration // between load reports
	LinesPerS    int           // rate of each pilot's channel, in lines per second
	MaxMessages  int           // maximum messages to one proxy within the span of the limit

	Faults []scenario.Fault // sorted by start time
}

// zones are the zones of all generated scenarios.
var zones = []string{"a", "b", "c"}

// milliseconds converts a number of ms to a duration. Fractions of a millisecond are dropped.
func milliseconds(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Scenario converts the draft to a scenario by parsing its text as a scenario file.
func (d *Draft) Scenario() (*scenario.Scenario, error) {
	return scenario.Read(fmt.Sprintf("drawn-%d.hcl", d.Seed), []byte(d.Text()))
}

// clone returns a copy of the draft that does not share the fault list.
func (d *Draft) clone() *Draft {
	c := *d
	c.Faults = slices.Clone(d.Faults)
	return &c
}

// sortFaults sorts the faults by start time.
func (d *Draft) sortFaults() {
	slices.SortStableFunc(d.Faults, func(a, b scenario.Fault) int { return int(a.At - b.At) })
}
