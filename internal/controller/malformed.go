package controller

// malformedReason says why an input, or a command of the decider, could not be used. It is a label of the metric
// odd_inputs_total and goes to the log, so its spelling stays.
type malformedReason string

// The reasons. What is malformed costs itself alone: it is counted, logged and left out.
const (
	malformedProxyZone      malformedReason = "proxy of an unknown zone"
	malformedProxyRate      malformedReason = "rate out of range"
	malformedProxyCount     malformedReason = "too many proxies"
	malformedSenderCount    malformedReason = "too many proxies at once"
	malformedRelayedProxy   malformedReason = "proxy of an unknown number or zone"
	malformedEndpointZone   malformedReason = "endpoint of an unknown zone"
	malformedEndpointWeight malformedReason = "weight out of range"
	malformedSlice          malformedReason = "slice that the terms do not tell of"
	malformedStoredLine     malformedReason = "stored line of an unknown endpoint or weight"
	malformedReportEndpoint malformedReason = "sums of an unknown endpoint"
	malformedReportClass    malformedReason = "demand of an unknown req kind"
	malformedReportSlice    malformedReason = "load of an unknown slice or req kind"
	malformedLoadFigure     malformedReason = "figure of a load report out of range"
	malformedRelayedReport  malformedReason = "report of an unknown zone or endpoint"
	malformedRelayedStats   malformedReason = "demand of an unknown req kind or proxy"
	malformedRecordedEvent  malformedReason = "recorded note of nobody known"
	malformedCommand        malformedReason = "order that can't be carried out"
	malformedAssignment     malformedReason = "bind of a proxy that has left"
)

// reportMalformed counts and logs something that could not be used. fields name what it was about.
func (c *Core) reportMalformed(reason malformedReason, fields ...string) {
	c.ReportStats.Malformed++
	c.options.Metrics.malformedInput(string(reason))
	c.options.Malformed(string(reason), fields...)
}
