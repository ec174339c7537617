package simulator

import (
	"errors"
	"fmt"
	"strconv"

	"indigousher/planner"
)

// reply is one line to the simulator. It answers the batch with the same number.
type reply struct {
	Number   int64     `json:"batch"`
	Commands []command `json:"orders"`
}

// command is a command in the simulator's format: one of the types below. Their fields are sorted by JSON name, the
// order that recorded conversations have.
type command interface{ isCommand() }

// commandKind is the simulator's name of a command.
type commandKind string

// The kinds of commands.
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

// header is common to all commands: the instance that issues it, and the kind.
type header struct {
	Instance string      `json:"i"`
	Kind     commandKind `json:"kind"`
}

func (header) isCommand() {}

// simpleCommand has no fields of its own.
type simpleCommand struct{ header }

type setWeightCommand struct {
	Endpoint string  `json:"endpoint"`
	Weight   float64 `json:"heft"`
	header
	Table int `json:"tbl"`
}

type clearTableCommand struct {
	header
	Table int `json:"tbl"`
}

type assignTableCommand struct {
	Proxy int `json:"edge"`
	header
	Classes int `json:"lanes"` // bit mask; 0: all
	Table   int `json:"tbl"`
}

type setExcludedCommand struct {
	Excluded bool   `json:"active"`
	Endpoint string `json:"endpoint"`
	header
}

type setAdmissionCommand struct {
	header
	Classes   int     `json:"lanes"` // bit mask; 0: all
	Level     float64 `json:"level"`
	RetryMode int     `json:"retry_mode"`
	Table     int     `json:"tbl"`
}

type ackRequestCommand struct {
	All    bool `json:"active"` // ask all proxies, not only those with changes
	Number int  `json:"epoch"`
	header
}

type healthCheckCommand struct {
	Endpoint string `json:"endpoint"`
	header
}

type sendGossipCommand struct {
	Text string `json:"contents"`
	header
	Peer int `json:"neighbour_id"`
}

type setTimerCommand struct {
	DueNs int64 `json:"due_at"`
	header
	Timer string `json:"ref"`
}

type watchEndpointsCommand struct {
	On bool `json:"active"`
	header
}

// textCommand is a log line, or reports why an instance is broken.
type textCommand struct {
	Text string `json:"body_text"`
	header
}

// header returns the header of a command of this instance.
func (in *instance) header(kind commandKind) header { return header{Instance: in.name, Kind: kind} }

// broken reports that the instance's planner panicked.
func (in *instance) broken(cause any) command {
	return textCommand{header: in.header(commandBroken), Text: fmt.Sprint(cause)}
}

// encode converts a command of the planner to the simulator's format.
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
	return nil, errors.New("unknown order " + strconv.Quote(fmt.Sprintf("%T", c)))
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

// encodeAssignTable rejects a proxy that has not joined: the simulator would treat the command as a violation.
func (in *instance) encodeAssignTable(c planner.AssignTable) (command, error) {
	if !in.joined[c.Proxy] {
		return nil, fmt.Errorf("bind of proxy %d, which is not joined", c.Proxy)
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

// endpointName returns the name of the endpoint that a command is about.
func (in *instance) endpointName(endpoint int, kind commandKind) (string, error) {
	name, err := in.endpoints.Lookup(endpoint)
	if err != nil {
		return "", fmt.Errorf("%v: %w", kind, err)
	}
	return name, nil
}
