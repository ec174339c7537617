package controller

// Checkpoint returns inputs that bring another core to know who is joined and what is listed.
func (c *Core) Checkpoint() []Input {
	inputs := []Input{EndpointsListed{List: c.endpoints.snapshot(c.nowMs)}}
	for _, s := range c.sessions.inOrder() {
		inputs = append(inputs, ProxyJoined{s.stream, s.hello})
	}
	return inputs
}

// FinishRecovery ends a replay: whoever was joined has left, and commands from now on go out by the transports of the
// given options. The decider and its settings stay those of the replay.
func (c *Core) FinishRecovery(options Options) {
	clear(c.slices) // the store gives them again
	var left []Input
	for _, s := range c.sessions.inOrder() {
		left = append(left, ProxyLeft{s.stream})
	}
	c.Handle(c.nowMs, left)
	options.Decider = c.options.Decider
	options.Settings = c.options.Settings
	c.applyOptions(options)
	c.reports.restartPeriod(c.nowMs)
}
