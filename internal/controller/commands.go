package controller

import (
	"fmt"

	"indigousher/planner"
)

// execute carries out one command of the decider. What goes to proxies is collected for the end of the turn.
func (c *Core) execute(command planner.Command) {
	if c.forwardToRelay(command) {
		return
	}
	switch command := command.(type) {
	case planner.SetWeight:
		c.setLine(command)
	case planner.ClearTable:
		c.clearTable(command)
	case planner.AssignTable:
		c.bind(command)
	case planner.SetExcluded:
		c.exclude(command)
	case planner.SetAdmission:
		c.admit(command)
	case planner.AckRequest:
		c.mark(command)
	case planner.HealthCheck:
		c.plan.HealthChecker.Probe(c.endpoints.name(command.Endpoint))
	case planner.SendGossip:
		c.plan.Gossip.Tell(command.Peer, command.Text)
	case planner.SetTimer:
		c.timers.set(command.AtMs, command.Name)
	case planner.WatchEndpoints:
		c.plan.EndpointSource.Watch(command.On)
	case planner.FetchEndpoints:
		c.plan.EndpointSource.Fetch()
	case planner.Log:
		c.plan.Log(command.Text)
	default:
		c.reportMalformed(malformedCommand, fmt.Sprintf("%T", command))
	}
}
