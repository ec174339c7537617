package controller

import (
	"fmt"

	"indigousher/planner"
)

// execute carries out one command of the decider. Operations for proxies are collected and sent at the end of the turn.
func (c *Core) execute(command planner.Command) {
	if c.forwardToRelay(command) {
		return
	}
	switch command := command.(type) {
	case planner.SetWeight:
		c.setWeight(command)
	case planner.ClearTable:
		c.clearTable(command)
	case planner.AssignTable:
		c.assignTable(command)
	case planner.SetExcluded:
		c.setExcluded(command)
	case planner.SetAdmission:
		c.setAdmission(command)
	case planner.AckRequest:
		c.requestAcks(command)
	case planner.HealthCheck:
		c.options.HealthChecker.Probe(c.endpoints.name(command.Endpoint))
	case planner.SendGossip:
		c.options.Gossip.Tell(command.Peer, command.Text)
	case planner.SetTimer:
		c.timers.set(command.AtMs, command.Name)
	case planner.WatchEndpoints:
		c.options.EndpointSource.Watch(command.On)
	case planner.FetchEndpoints:
		c.options.EndpointSource.Fetch()
	case planner.Log:
		c.options.Log(command.Text)
	default:
		c.reportMalformed(malformedCommand, fmt.Sprintf("%T", command))
	}
}
