package simulator

import (
	"fmt"
	"math"

	"indigousher/internal/settings"
	"indigousher/planner"
)

// instance is one simulated controller. It holds a planner and the names for the indices that the planner uses.
type instance struct {
	name     string
	planner  *planner.Planner
	originNs int64 // simulator time at which the planner's time is zero

	endpoints, zones, classes, models settings.Names

	joined map[int]bool // numbers of the proxies with an open stream
}

// newInstance returns the instance that a start event describes. clockNs is the current simulator time.
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

// handle passes events to the planner and returns its commands. If the planner panics, it returns a single command that
// reports the panic to the simulator, so that the other instances can continue.
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

// trackProxies updates the set of joined proxies from events.
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

// plannerTime converts simulator time to the planner's time, which is in milliseconds since the start of the instance.
func (in *instance) plannerTime(clockNs int64) float64 {
	return float64(clockNs-in.originNs) / settings.NsPerMs
}

// simulatorTime converts the planner's time to simulator time, rounded to the nearest nanosecond.
func (in *instance) simulatorTime(atMs float64) int64 {
	return in.originNs + int64(math.Round(atMs*settings.NsPerMs))
}
