package pilot

// oddFigure counts what can be no figure of a load report.
const oddFigure = "figure of a load report out of range"

func (c *Core) odd(what string, fields ...string) {
	c.Believed.Odd++
	c.plan.Meter.oddity(what)
	c.plan.Odd(what, fields...)
}
