package simulator

import (
	"errors"
	"fmt"
	"strconv"

	"indigousher/planner"
)

// reply is the line that the adapter writes for each batch. It has the number of the batch.
type reply struct {
	Number   int64     `json:"batch"`
	Commands []command `json:"orders"`
}

// command is a command in the format of the simulator. The types that implement it declare their fields in the order of
// their JSON names, which is the order in recorded conversations.
type command interface{ isCommand() }

// commandKind is the type of a command, as the simulator names it.
type commandKind string

// The types of commands.
const (
	commandSetWeight      commandKind = "set_weight"
	commandClearTable     commandKind = "reset_table"
	commandAssignTable    commandKind = "use_table"
	commandSetExcluded    commandKind = "withdraw"
	commandSetAdmission   commandKind = "gate_class"
	commandAckRequest     commandKind = "checkpoint"
	commandHealthCheck    commandKind = "health_check"
	commandSendGossip     commandKind = "memo_to"
	commandSetTimer       commandKind = "set_timer"
	commandWatchEndpoints commandKind = "stream_changes"
	commandFetchEndpoints commandKind = "query_all"
	commandLog            commandKind = "print"
	commandBroken         commandKind = "broken"
)

// header holds the fields that all commands have: the name of the issuing instance and the type.
type header struct {
	Instance string      `json:"i"`
	Kind     commandKind `json:"kind"`
}

func (header) isCommand() {}

// simpleCommand is a command without further fields.
type simpleCommand struct{ header }

// setWeightCommand sets the weight of an endpoint in a table.
type setWeightCommand struct {
	Endpoint string  `json:"endpoint"`
	Weight   float64 `json:"heft"`
	header
	Table int `json:"tbl"`
}

// clearTableCommand removes the content of a table.
type clearTableCommand struct {
	header
	Table int `json:"tbl"`
}

// assignTableCommand assigns a table to request classes of a proxy.
type assignTableCommand struct {
	Proxy int `json:"edge"`
	header
	Classes int `json:"lanes"` // bit mask of request class indices; 0: all
	Table   int `json:"tbl"`
}

// setExcludedCommand excludes an endpoint from all tables or ends its exclusion.
type setExcludedCommand struct {
	Excluded bool   `json:"active"`
	Endpoint string `json:"endpoint"`
	header
}

// setAdmissionCommand sets the admission level and the retry mode of request classes.
type setAdmissionCommand struct {
	header
	Classes   int     `json:"lanes"` // bit mask of request class indices; 0: all
	Level     float64 `json:"level"`
	RetryMode int     `json:"retry_mode"`
	Table     int     `json:"tbl"`
}

// ackRequestCommand requests acknowledgements from proxies.
type ackRequestCommand struct {
	All    bool `json:"active"` // request it from all proxies, not only from those with changes
	Number int  `json:"epoch"`
	header
}

// healthCheckCommand requests a health check of an endpoint.
type healthCheckCommand struct {
	Endpoint string `json:"endpoint"`
	header
}

// sendGossipCommand sends a message to another instance.
type sendGossipCommand struct {
	Text string `json:"contents"`
	header
	Peer int `json:"neighbour_id"`
}

// setTimerCommand sets a timer; DueNs is in simulator time.
type setTimerCommand struct {
	DueNs int64 `json:"due_at"`
	header
	Timer string `json:"ref"`
}

// watchEndpointsCommand starts or stops the delivery of changes of the endpoint list.
type watchEndpointsCommand struct {
	On bool `json:"active"`
	header
}

// textCommand is a log line, or the message of a planner that panicked.
type textCommand struct {
	Text string `json:"body_text"`
	header
}

// header returns the common fields of a command that this instance issues.
func (in *instance) header(kind commandKind) header { return header{Instance: in.name, Kind: kind} }

// broken returns the command that reports a panic of the planner to the simulator.
func (in *instance) broken(cause any) command {
	return textCommand{header: in.header(commandBroken), Text: fmt.Sprint(cause)}
}

// encode converts a command of the planner to the simulator's format. It returns an error if the command refers to an
// unknown endpoint or proxy, or has an unknown type.
func (in *instance) encode(c planner.Command) (command, error) {
	switch c := c.(type) {
	case planner.SetWeight:
		return in.encodeSetWeight(c)
	case planner.ClearTable:
		return clearTableCommand{header: in.header(commandClearTable), Table: c.Table}, nil
	case planner.AssignTable:
		return in.encodeAssignTable(c)
	case planner.SetExcluded:
		return in.encodeSetExcluded(c)
	case planner.SetAdmission:
		return in.encodeSetAdmission(c), nil
	case planner.AckRequest:
		return ackRequestCommand{header: in.header(commandAckRequest), Number: c.Number, All: c.All}, nil
	case planner.HealthCheck:
		return in.encodeHealthCheck(c)
	case planner.SendGossip:
		return sendGossipCommand{header: in.header(commandSendGossip), Peer: c.Peer, Text: c.Text}, nil
	case planner.SetTimer:
		return setTimerCommand{header: in.header(commandSetTimer), DueNs: in.simulatorTime(c.AtMs), Timer: c.Name}, nil
	case planner.WatchEndpoints:
		return watchEndpointsCommand{header: in.header(commandWatchEndpoints), On: c.On}, nil
	case planner.FetchEndpoints:
		return simpleCommand{in.header(commandFetchEndpoints)}, nil
	case planner.Log:
		return textCommand{header: in.header(commandLog), Text: c.Text}, nil
	}
	return nil, errors.New("unknown command " + strconv.Quote(fmt.Sprintf("%T", c)))
}

func (in *instance) encodeSetWeight(c planner.SetWeight) (command, error) {
	name, err := in.endpointName(c.Endpoint, commandSetWeight)
	if err != nil {
		return nil, err
	}
	return setWeightCommand{
		header:   in.header(commandSetWeight),
		Endpoint: name,
		Weight:   c.Weight,
		Table:    c.Table,
	}, nil
}

// encodeAssignTable returns an error if the proxy has not joined, because the simulator would count the command as a
// protocol violation.
func (in *instance) encodeAssignTable(c planner.AssignTable) (command, error) {
	if !in.joined[c.Proxy] {
		return nil, fmt.Errorf("use_table: proxy %d has not joined", c.Proxy)
	}
	return assignTableCommand{
		header:  in.header(commandAssignTable),
		Proxy:   c.Proxy,
		Classes: c.Classes,
		Table:   c.Table,
	}, nil
}

func (in *instance) encodeSetExcluded(c planner.SetExcluded) (command, error) {
	name, err := in.endpointName(c.Endpoint, commandSetExcluded)
	if err != nil {
		return nil, err
	}
	return setExcludedCommand{header: in.header(commandSetExcluded), Endpoint: name, Excluded: c.Excluded}, nil
}

func (in *instance) encodeSetAdmission(c planner.SetAdmission) command {
	return setAdmissionCommand{
		header:    in.header(commandSetAdmission),
		Classes:   c.Classes,
		Level:     c.Level,
		RetryMode: c.RetryMode,
		Table:     c.Table,
	}
}

func (in *instance) encodeHealthCheck(c planner.HealthCheck) (command, error) {
	name, err := in.endpointName(c.Endpoint, commandHealthCheck)
	if err != nil {
		return nil, err
	}
	return healthCheckCommand{header: in.header(commandHealthCheck), Endpoint: name}, nil
}

// endpointName returns the name of the endpoint with the given index. kind is the command that refers to it, for the
// error message.
func (in *instance) endpointName(endpoint int, kind commandKind) (string, error) {
	name, err := in.endpoints.Lookup(endpoint)
	if err != nil {
		return "", fmt.Errorf("%v: %w", kind, err)
	}
	return name, nil
}
