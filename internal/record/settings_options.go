package record

import (
	"fmt"

	"indigousher/internal/pilot"
)

// optionsFromSettings makes a core's plan from the module's terms.
func optionsFromSettings(terms map[string]any) (p pilot.Plan, err error) {
	texts := func(name string) (list []string) {
		all, _ := terms[name].([]any)
		for _, x := range all {
			switch x := x.(type) {
			case string:
				list = append(list, x)
			case map[string]any:
				s, _ := x["name"].(string)
				list = append(list, s)
			}
		}
		return list
	}
	num := func(name string) float64 { v, _ := terms[name].(float64); return v }
	p = pilot.Plan{Zones: texts("zones"), Machines: texts("machines"), Kinds: texts("req_kinds"), LinesPerS: num("lines_per_s"),
		Backlog: num("backlog"), HeadLines: int(num("head_lines")), MessagesMost: int(num("messages_most")),
		MessagesOverMs: num("messages_over"), MostProxies: 65535, List: disabledTransports{}, Prober: disabledTransports{}, Peers: disabledTransports{},
		Log: func(string) {}, Odd: func(string, ...string) {}, Replayed: true}
	p.Intake.PeriodMs, p.Intake.HalfMs, p.Intake.LongestMs = 1000, 5000, 120000
	if len(p.Zones) == 0 || len(p.Kinds) == 0 {
		return p, fmt.Errorf("terms without zones or req kinds: %w", ErrTorn)
	}
	return p, nil
}

// disabledTransports stands for edges that are not there in a replay.
type disabledTransports struct{}

func (disabledTransports) Watch(bool) {}

func (disabledTransports) Fetch() {}

func (disabledTransports) Probe(string) {}

func (disabledTransports) Tell(int, string) {}
