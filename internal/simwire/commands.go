package simwire

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"indigousher/brain"
	"indigousher/internal/translate"
)

// reply is one line to the simulator.
type reply struct {
	Number   int64            `json:"batch"`
	Commands []map[string]any `json:"orders"`
}

// encode turns one order into an action.
func (p *instance) encode(o brain.Order) (map[string]any, error) {
	switch o := o.(type) {
	case brain.SetLine:
		return p.withEndpointName(o.Endpoint, map[string]any{"kind": "set_weight", "tbl": o.Table, "heft": o.Weight})
	case brain.ClearTable:
		return map[string]any{"kind": "reset_table", "tbl": o.Table}, nil
	case brain.Bind:
		if !p.joined[o.Proxy] {
			return nil, fmt.Errorf("bind of proxy %d, which is not joined", o.Proxy)
		}
		return map[string]any{"kind": "use_table", "tbl": o.Table, "lanes": o.Kinds, "edge": o.Proxy}, nil
	case brain.Withdraw:
		return p.withEndpointName(o.Endpoint, map[string]any{"kind": "withdraw", "active": o.Out})
	case brain.Admit:
		return map[string]any{"kind": "gate_class", "tbl": o.Table, "level": o.Level, "lanes": o.Kinds,
			"retry_mode": o.Again}, nil
	case brain.Mark:
		return map[string]any{"kind": "checkpoint", "epoch": o.Number, "active": o.All}, nil
	case brain.Probe:
		return p.withEndpointName(o.Endpoint, map[string]any{"kind": "health_check"})
	case brain.Tell:
		return map[string]any{"kind": "memo_to", "neighbour_id": o.Peer, "contents": o.Text}, nil
	case brain.WakeAt:
		due := p.originNs + int64(math.Round(o.AtMs*translate.NsPerMs))
		return map[string]any{"kind": "set_timer", "due_at": due, "ref": o.Name}, nil
	case brain.Watch:
		return map[string]any{"kind": "stream_changes", "active": o.On}, nil
	case brain.FetchList:
		return map[string]any{"kind": "query_all"}, nil
	case brain.Log:
		return map[string]any{"kind": "print", "body_text": o.Text}, nil
	}
	return nil, errors.New("unknown order " + strconv.Quote(fmt.Sprintf("%T", o)))
}

// withEndpointName adds an endpoint's id to an action.
func (p *instance) withEndpointName(endpoint int, act map[string]any) (map[string]any, error) {
	name, err := p.endpoints.Out(endpoint)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", act["kind"], err)
	}
	act["endpoint"] = name
	return act, nil
}
