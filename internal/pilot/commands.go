package pilot

import (
	"fmt"

	"indigousher/brain"
)

// execute carries out one command of the decider. What goes to proxies is collected for the end of the turn.
func (c *Core) execute(command brain.Order) {
	if c.forwardToRelay(command) {
		return
	}
	switch command := command.(type) {
	case brain.SetLine:
		c.setLine(command)
	case brain.ClearTable:
		c.clearTable(command)
	case brain.Bind:
		c.bind(command)
	case brain.Withdraw:
		c.exclude(command)
	case brain.Admit:
		c.admit(command)
	case brain.Mark:
		c.mark(command)
	case brain.Probe:
		c.plan.Prober.Probe(c.endpoints.name(command.Endpoint))
	case brain.Tell:
		c.plan.Peers.Tell(command.Peer, command.Text)
	case brain.WakeAt:
		c.timers.set(command.AtMs, command.Name)
	case brain.Watch:
		c.plan.List.Watch(command.On)
	case brain.FetchList:
		c.plan.List.Fetch()
	case brain.Log:
		c.plan.Log(command.Text)
	default:
		c.reportMalformed(malformedCommand, fmt.Sprintf("%T", command))
	}
}
