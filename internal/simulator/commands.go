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
func (p *instance) header(kind commandKind) header { return header{Instance: p.name, Kind: kind} }

// broken reports that the instance's planner panicked.
func (p *instance) broken(cause any) command {
	return textCommand{header: p.header(commandBroken), Text: fmt.Sprint(cause)}
}

// encode converts a command of the planner to the simulator's format.
func (p *instance) encode(order planner.Command) (command, error) {
	switch o := order.(type) {
	case planner.SetWeight:
		return p.encodeSetWeight(o)
	case planner.ClearTable:
		return clearTableCommand{header: p.header(commandClearTable), Table: o.Table}, nil
	case planner.AssignTable:
		return p.encodeAssignTable(o)
	case planner.SetExcluded:
		return p.encodeSetExcluded(o)
	case planner.SetAdmission:
		return p.encodeSetAdmission(o), nil
	case planner.AckRequest:
		return ackRequestCommand{header: p.header(commandAckRequest), Number: o.Number, All: o.All}, nil
	case planner.HealthCheck:
		return p.encodeHealthCheck(o)
	case planner.SendGossip:
		return sendGossipCommand{header: p.header(commandSendGossip), Peer: o.Peer, Text: o.Text}, nil
	case planner.SetTimer:
		return setTimerCommand{header: p.header(commandSetTimer), DueNs: p.simulatorTime(o.AtMs), Timer: o.Name}, nil
	case planner.WatchEndpoints:
		return watchEndpointsCommand{header: p.header(commandWatchEndpoints), On: o.On}, nil
	case planner.FetchEndpoints:
		return simpleCommand{p.header(commandFetchEndpoints)}, nil
	case planner.Log:
		return textCommand{header: p.header(commandLog), Text: o.Text}, nil
	}
	return nil, errors.New("unknown order " + strconv.Quote(fmt.Sprintf("%T", order)))
}

func (p *instance) encodeSetWeight(o planner.SetWeight) (command, error) {
	name, err := p.endpointName(o.Endpoint, commandSetWeight)
	if err != nil {
		return nil, err
	}
	return setWeightCommand{
		header:   p.header(commandSetWeight),
		Endpoint: name,
		Weight:   o.Weight,
		Table:    o.Table,
	}, nil
}

// encodeAssignTable rejects a proxy that has not joined: the simulator would treat the command as a violation.
func (p *instance) encodeAssignTable(o planner.AssignTable) (command, error) {
	if !p.joined[o.Proxy] {
		return nil, fmt.Errorf("bind of proxy %d, which is not joined", o.Proxy)
	}
	return assignTableCommand{
		header:  p.header(commandAssignTable),
		Proxy:   o.Proxy,
		Classes: o.Classes,
		Table:   o.Table,
	}, nil
}

func (p *instance) encodeSetExcluded(o planner.SetExcluded) (command, error) {
	name, err := p.endpointName(o.Endpoint, commandSetExcluded)
	if err != nil {
		return nil, err
	}
	return setExcludedCommand{header: p.header(commandSetExcluded), Endpoint: name, Excluded: o.Excluded}, nil
}

func (p *instance) encodeSetAdmission(o planner.SetAdmission) command {
	return setAdmissionCommand{
		header:    p.header(commandSetAdmission),
		Classes:   o.Classes,
		Level:     o.Level,
		RetryMode: o.RetryMode,
		Table:     o.Table,
	}
}

func (p *instance) encodeHealthCheck(o planner.HealthCheck) (command, error) {
	name, err := p.endpointName(o.Endpoint, commandHealthCheck)
	if err != nil {
		return nil, err
	}
	return healthCheckCommand{header: p.header(commandHealthCheck), Endpoint: name}, nil
}

// endpointName returns the name of the endpoint that a command is about.
func (p *instance) endpointName(endpoint int, kind commandKind) (string, error) {
	name, err := p.endpoints.Lookup(endpoint)
	if err != nil {
		return "", fmt.Errorf("%v: %w", kind, err)
	}
	return name, nil
}
