package planner

// Command is an output of the planner, which the runtime carries out. Only the types of this file implement it. The
// commands returned by one call of Handle are carried out in order.
type Command interface{ command() }

// SetWeight sets an endpoint's weight in a table; weight 0 removes the endpoint from the table.
type SetWeight struct {
	Table    int
	Endpoint int
	Weight   float64
}

func (SetWeight) command() {}

// ClearTable removes all weights and admission levels of a table.
type ClearTable struct{ Table int }

func (ClearTable) command() {}

// AssignTable assigns a table to a proxy for some request classes. Classes is a bit mask; 0 means all classes.
type AssignTable struct {
	Table   int
	Proxy   int
	Classes int
}

func (AssignTable) command() {}

// SetExcluded excludes an endpoint at all joined proxies, regardless of their tables, or ends its exclusion.
type SetExcluded struct {
	Endpoint int
	Excluded bool
}

func (SetExcluded) command() {}

// EveryTable is the table number of a SetAdmission that applies to all joined proxies.
const EveryTable = 65535

// SetAdmission sets how many requests of some classes the proxies that use a table admit, and their retry policy.
// Classes is a bit mask. Level is a fraction from 0 to 1 or a rate in requests per second, depending on the setting
// "admission".
type SetAdmission struct {
	Table     int
	Classes   int
	RetryMode int
	Level     float64
}

func (SetAdmission) command() {}

// AckRequest asks the proxies that receive a command of the same call of Handle, or all proxies if All is set, for an
// acknowledgement (see Ack) once they have applied everything sent before.
type AckRequest struct {
	Number int
	All    bool
}

func (AckRequest) command() {}

// HealthCheck starts a health check of an endpoint.
type HealthCheck struct{ Endpoint int }

func (HealthCheck) command() {}

// SendGossip sends a short text to another pilot, or to all other pilots if Peer is -1. Delivery is not guaranteed.
type SendGossip struct {
	Peer int
	Text string
}

func (SendGossip) command() {}

// SetTimer requests a TimerFired event with the given name at a time on the pilot's clock, in ms.
type SetTimer struct {
	AtMs float64
	Name string
}

func (SetTimer) command() {}

// WatchEndpoints subscribes to changes of the endpoint list (On) or ends the subscription.
type WatchEndpoints struct{ On bool }

func (WatchEndpoints) command() {}

// FetchEndpoints requests the complete endpoint list once.
type FetchEndpoints struct{}

func (FetchEndpoints) command() {}

// Log writes a line to the operators' log.
type Log struct{ Text string }

func (Log) command() {}
