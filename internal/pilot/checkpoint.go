package pilot

// Checkpoint returns inputs that bring another core to know who is joined and what is listed.
func (c *Core) Checkpoint() []Input {
	inputs := []Input{Listed{List: c.endpoints.snapshot(c.now)}}
	for _, s := range c.sortedSessions() {
		inputs = append(inputs, Join{s.stream, s.hello})
	}
	return inputs
}

// Recovered ends a replay: whoever was joined has left, and what is ordered from now on goes out by the plan's edges.
func (c *Core) Recovered(p Plan) {
	var leave []Input
	clear(c.sliceRanges) // the store gives them again
	for _, s := range c.sortedSessions() {
		leave = append(leave, Leave{s.stream})
	}
	c.Handle(c.now, leave)
	p.Decider, p.Terms = c.plan.Decider, c.plan.Terms
	c.plan = p
	c.Channel = NewChannel(p.LinesPerS, p.Backlog, p.MessagesMost, p.MessagesOverMs, p.Meter)
	c.reports.restartPeriod(c.now)
}
