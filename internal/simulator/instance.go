package simulator

import (
	"fmt"
	"math"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// instance is one simulated controller: its planner, and the names behind the planner's indices.
type instance struct {
	name     string
	planner  *planner.Planner
	originNs int64 // simulator time of the start, the origin of the planner's time

	endpoints, zones, classes, models settings.Names

	joined map[int]bool // proxies with an open stream
}

// newInstance creates an instance from its start event.
func newInstance(e *event, clockNs int64) *instance {
	deployment := settings.Parse(e.Setup)
	return &instance{
		name:     e.Instance,
		planner:  planner.New(e.Seed, deployment.Settings),
		originNs: clockNs,
		zones:    deployment.Zones,
		classes:  deployment.Classes,
		models:   deployment.Machines,
		joined:   map[int]bool{},
	}
}

// handle passes events to the planner and returns its commands. If the planner panics, the panic is reported to the
// simulator in place of commands, and the other instances continue.
func (in *instance) handle(clockNs int64, events []planner.Event) (commands []command, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			commands = []command{in.broken(cause)}
			err = nil
		}
	}()
	in.trackProxies(events)
	for _, c := range in.planner.Handle(in.plannerTime(clockNs), events) {
		encoded, err := in.encode(c)
		if err != nil {
			return nil, fmt.Errorf("instance %s: %w", in.name, err)
		}
		commands = append(commands, encoded)
	}
	return commands, nil
}

// trackProxies records which proxies join and leave.
func (in *instance) trackProxies(events []planner.Event) {
	for _, e := range events {
		switch e := e.(type) {
		case planner.ProxyJoined:
			in.joined[e.Proxy] = true
		case planner.ProxyLeft:
			delete(in.joined, e.Proxy)
		}
	}
}

// planTime converts simulator time to the planner's time: milliseconds since the instance's start.
func (in *instance) plannerTime(clockNs int64) float64 {
	return float64(clockNs-in.originNs) / settings.NsPerMs
}

// simulatorTime converts the planner's time to simulator time.
func (in *instance) simulatorTime(atMs float64) int64 {
	return in.originNs + int64(math.Round(atMs*settings.NsPerMs))
}
