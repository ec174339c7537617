package search

import (
	"fmt"
	"slices"
	"time"

	"indigousher/internal/scenario"
)

// Draft is a drawn scenario: its fleet and its faults, as a scenario file would tell them.
type Draft struct {
	Seed   int
	Length time.Duration

	// Fleet.
	Endpoints   int // in each zone
	Proxies     int // in each zone
	Pilots      int
	ByZone      bool    // proxies dial the pilot of their zone first
	Record      bool    // pilots record
	Queue       int     // requests that wait at an endpoint
	SpeedSpread float64 // of endpoints, as the deviation of the logarithm

	// Load.
	Load         float64 // of the fleet's capacity
	DemandSpread float64 // of proxies, as the deviation of the logarithm
	RetryHow     int     // retry policy of proxies before a pilot sets one
	Retries      int     // of clients

	// Information and channel.
	ListLate    time.Duration // after which pilots learn of a change in the endpoint list
	Period      time.Duration // between load reports
	LinesPerS   int           // rate of each pilot's channel
	MaxMessages int           // to one proxy within the span over which they are counted

	Faults []scenario.Fault // by time
}

// zones are the zones of all drawn scenarios.
var zones = []string{"a", "b", "c"}

func milliseconds(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Scenario reads the draft as a scenario file would be read.
func (d *Draft) Scenario() (*scenario.Scenario, error) {
	return scenario.Read(fmt.Sprintf("drawn-%d.hcl", d.Seed), []byte(d.Text()))
}

// clone returns a copy whose faults can be changed.
func (d *Draft) clone() *Draft {
	c := *d
	c.Faults = slices.Clone(d.Faults)
	return &c
}

func (d *Draft) sortFaults() {
	slices.SortStableFunc(d.Faults, func(a, b scenario.Fault) int { return int(a.At - b.At) })
}
