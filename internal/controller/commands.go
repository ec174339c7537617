package controller

import (
	"fmt"

	"indigousher/planner"
)

// execute carries out one command of the decider. What goes to proxies is collected for the end of the turn.
func (c *Core) execute(command planner.Order) {
	if c.forwardToRelay(command) {
		return
	}
	switch command := command.(type) {
	case planner.SetLine:
		c.setLine(command)
	case planner.ClearTable:
		c.clearTable(command)
	case planner.Bind:
		c.bind(command)
	case planner.Withdraw:
		c.exclude(command)
	case planner.Admit:
		c.admit(command)
	case planner.Mark:
		c.mark(command)
	case planner.Probe:
		c.plan.Prober.Probe(c.endpoints.name(command.Endpoint))
	case planner.Tell:
		c.plan.Peers.Tell(command.Peer, command.Text)
	case planner.WakeAt:
		c.timers.set(command.AtMs, command.Name)
	case planner.Watch:
		c.plan.List.Watch(command.On)
	case planner.FetchList:
		c.plan.List.Fetch()
	case planner.Log:
		c.plan.Log(command.Text)
	default:
		c.reportMalformed(malformedCommand, fmt.Sprintf("%T", command))
	}
}
