package controller

// malformedReason is the reason why an input, or a command of the decider, was rejected. It is a label value of the
// metric odd_inputs_total and appears in the log, so the strings must not change.
type malformedReason string

// Reasons for rejecting an input or a command. A malformed item is counted, logged and skipped; it has no effect on
// other inputs.
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

// reportMalformed counts and logs a malformed input or command. fields identify it in the log, for example the proxy's
// name and the invalid value.
func (c *Core) reportMalformed(reason malformedReason, fields ...string) {
	c.ReportStats.Malformed++
	c.options.Metrics.malformedInput(string(reason))
	c.options.Malformed(string(reason), fields...)
}
