package simwire

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// instance is one instance with its own names between ids and indices.
type instance struct {
	name                              string
	brain                             *brain.Brain
	originNs                          int64
	endpoints, zones, classes, models translate.Names
	joined                            map[int]bool
}

// newInstance makes an instance from its first event.
func newInstance(e *event, clock int64) *instance {
	d := translate.Read(e.Setup)
	return &instance{name: e.Instance, originNs: clock, joined: map[int]bool{}, zones: d.Zones, classes: d.Kinds,
		models: d.Machines, brain: brain.New(e.Seed, d.Terms)}
}

// handle runs the module and turns a panic in it into the wire's fault.
func (p *instance) handle(clock int64, notes []brain.Note) (acts []map[string]any, err error) {
	defer func() {
		if r := recover(); r != nil {
			acts, err = []map[string]any{{"kind": "broken", "i": p.name, "body_text": fmt.Sprint(r)}}, nil
		}
	}()
	for _, n := range notes {
		switch n := n.(type) {
		case brain.Joined:
			p.joined[n.Proxy] = true
		case brain.Left:
			delete(p.joined, n.Proxy)
		}
	}
	for _, o := range p.brain.Handle(p.planTime(clock), notes) {
		act, err := p.encode(o)
		if err != nil {
			return nil, fmt.Errorf("instance %s: %w", p.name, err)
		}
		act["i"] = p.name
		acts = append(acts, act)
	}
	return acts, nil
}

// planTime turns a clock value into milliseconds since the instance's start.
func (p *instance) planTime(clock int64) float64 {
	return float64(clock-p.originNs) / translate.NsPerMs
}
