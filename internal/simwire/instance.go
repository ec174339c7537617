package simwire

import (
	"fmt"
	"math"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// instance is one controller of the simulated deployment: its planner, and the names behind the planner's indices.
type instance struct {
	name     string
	brain    *brain.Brain
	originNs int64 // the simulator's time of its start, which the planner counts from

	endpoints, zones, classes, models translate.Names

	joined map[int]bool // proxies with an open stream
}

// newInstance makes an instance of its start event.
func newInstance(e *event, clockNs int64) *instance {
	deployment := translate.Read(e.Setup)
	return &instance{
		name:     e.Instance,
		brain:    brain.New(e.Seed, deployment.Terms),
		originNs: clockNs,
		zones:    deployment.Zones,
		classes:  deployment.Kinds,
		models:   deployment.Machines,
		joined:   map[int]bool{},
	}
}

// handle gives the planner its events and returns its commands. A panic of the planner is reported to the simulator in
// place of commands: the other instances go on.
func (p *instance) handle(clockNs int64, notes []brain.Note) (commands []command, err error) {
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

// trackProxies notes which proxies join and leave.
func (p *instance) trackProxies(notes []brain.Note) {
	for _, note := range notes {
		switch n := note.(type) {
		case brain.Joined:
			p.joined[n.Proxy] = true
		case brain.Left:
			delete(p.joined, n.Proxy)
		}
	}
}

// planTime turns the simulator's time into the planner's: milliseconds since the instance's start.
func (p *instance) planTime(clockNs int64) float64 {
	return float64(clockNs-p.originNs) / translate.NsPerMs
}

// simulatorTime turns the planner's time into the simulator's.
func (p *instance) simulatorTime(atMs float64) int64 {
	return p.originNs + int64(math.Round(atMs*translate.NsPerMs))
}
