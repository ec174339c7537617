package controller

// Checkpoint returns inputs that reproduce the joined proxies and the endpoint list in another core.
func (c *Core) Checkpoint() []Input {
	inputs := []Input{EndpointsListed{List: c.endpoints.snapshot(c.nowMs)}}
	for _, s := range c.sessions.inOrder() {
		inputs = append(inputs, ProxyJoined{s.stream, s.hello})
	}
	return inputs
}

// FinishRecovery switches a core from replaying a record to live operation. All joined proxies are treated as having
// left, and later commands go to the transports in options. The decider and its settings from the replay are kept.
func (c *Core) FinishRecovery(options Options) {
	clear(c.slices) // the store assigns the slices again after the start
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
