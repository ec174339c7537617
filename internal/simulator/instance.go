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
	brain    *planner.Planner
	originNs int64 // simulator time of the start, the origin of the planner's time

	endpoints, zones, classes, models settings.Names

	joined map[int]bool // proxies with an open stream
}

// newInstance creates an instance from its start event.
func newInstance(e *event, clockNs int64) *instance {
	deployment := settings.Parse(e.Setup)
	return &instance{
		name:     e.Instance,
		brain:    planner.New(e.Seed, deployment.Settings),
		originNs: clockNs,
		zones:    deployment.Zones,
		classes:  deployment.Classes,
		models:   deployment.Machines,
		joined:   map[int]bool{},
	}
}

// handle passes events to the planner and returns its commands. If the planner panics, the panic is reported to the
// simulator in place of commands, and the other instances continue.
func (p *instance) handle(clockNs int64, notes []planner.Event) (commands []command, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			commands = []command{p.broken(cause)}
			err = nil
		}
	}()
	p.trackProxies(notes)
	for _, order := range p.brain.Handle(p.planTime(clockNs), notes) {
		encoded, err := p.encode(order)
		if err != nil {
			return nil, fmt.Errorf("instance %s: %w", p.name, err)
		}
		commands = append(commands, encoded)
	}
	return commands, nil
}

// trackProxies records which proxies join and leave.
func (p *instance) trackProxies(notes []planner.Event) {
	for _, note := range notes {
		switch n := note.(type) {
		case planner.ProxyJoined:
			p.joined[n.Proxy] = true
		case planner.ProxyLeft:
			delete(p.joined, n.Proxy)
		}
	}
}

// planTime converts simulator time to the planner's time: milliseconds since the instance's start.
func (p *instance) planTime(clockNs int64) float64 {
	return float64(clockNs-p.originNs) / settings.NsPerMs
}

// simulatorTime converts the planner's time to simulator time.
func (p *instance) simulatorTime(atMs float64) int64 {
	return p.originNs + int64(math.Round(atMs*settings.NsPerMs))
}
