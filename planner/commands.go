package planner

// Command is something for the runtime to do. The set is closed; its members are the types of this file. Commands of
// one turn are carried out in their order.
type Command interface{ command() }

// SetWeight sets an endpoint's weight in a table; 0 removes the endpoint from it.
type SetWeight struct {
	Table    int
	Endpoint int
	Weight   float64
}

func (SetWeight) command() {}

// ClearTable removes all weights and admission levels of a table.
type ClearTable struct{ Table int }

func (ClearTable) command() {}

// AssignTable assigns a table to a proxy for the request classes of a bit mask (0: all).
type AssignTable struct {
	Table   int
	Proxy   int
	Classes int
}

func (AssignTable) command() {}

// SetExcluded excludes an endpoint at all joined proxies, whatever their tables say, or lets it in again.
type SetExcluded struct {
	Endpoint int
	Excluded bool
}

func (SetExcluded) command() {}

// EveryTable is the table number of a SetAdmission that counts for all joined proxies.
const EveryTable = 65535

// SetAdmission sets how many requests of some classes (a bit mask) the users of a table admit, and how they retry.
// Level is a share from 0 to 1 or a rate in requests a second, as the deployment has it.
type SetAdmission struct {
	Table     int
	Classes   int
	RetryMode int
	Level     float64
}

func (SetAdmission) command() {}

// AckRequest asks the proxies that this turn reaches, or all, to acknowledge (with an Ack) once they have applied
// everything sent before.
type AckRequest struct {
	Number int
	All    bool
}

func (AckRequest) command() {}

// HealthCheck checks the health of an endpoint.
type HealthCheck struct{ Endpoint int }

func (HealthCheck) command() {}

// SendGossip sends a short text to another pilot, or to all with Peer -1. It may get lost.
type SendGossip struct {
	Peer int
	Text string
}

func (SendGossip) command() {}

// SetTimer asks for a TimerFired event at a time on the pilot's clock.
type SetTimer struct {
	AtMs float64
	Name string
}

func (SetTimer) command() {}

// WatchEndpoints subscribes to changes of the endpoint list or ends the subscription.
type WatchEndpoints struct{ On bool }

func (WatchEndpoints) command() {}

// FetchEndpoints asks for the whole endpoint list once.
type FetchEndpoints struct{}

func (FetchEndpoints) command() {}

// Log writes a line to the operators' log.
type Log struct{ Text string }

func (Log) command() {}
