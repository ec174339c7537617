package pilot

// oddFigure counts what can be no figure of a load report.
const figureOutOfRange = "figure of a load report out of range"

func (c *Core) reportMalformed(what string, fields ...string) {
	c.Believed.Odd++
	c.plan.Meter.malformedInput(what)
	c.plan.Odd(what, fields...)
}
