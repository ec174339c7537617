package settings

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// variant is what a site file fixes for all its days.
type variant struct {
	Net    struct{ Zones []string }
	Rules  map[string]float64
	Prices map[string]float64
	Fam    struct {
		Pick, Admit, Deal string
		Head, Standing    float64
		MessagesMost      float64 `toml:"messages_most"`
		OrderPrice        float64 `toml:"order_price"`
	}
	Tier []struct {
		Report struct{ Fields []string }
		Kind   []struct{ Name string }
	}
	Class []struct {
		Name, Effect, Group string
		Aim                 float64  `toml:"aim_ms"`
		Deadline            float64  `toml:"deadline_ms"`
		Window              float64  `toml:"window_ms"`
		Late                float64  `toml:"late_worth"`
		OnlyKinds           []string `toml:"only_kinds"`
		Worth               float64
	}
}

var (
	platformFields  = map[string]string{"util": "cpu_share", "qps": "served_ps", "inflight": "busy_reqs", "queue": "pending", "latency_ms": "svc_ms"}
	platformEffects = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	ourEffects      = map[string]string{"safe": "replayable", "keyed": "uniqued", "unsafe": "non-replayable"}
	ourFields       = map[string]string{"util": "util", "qps": "rate", "inflight": "in_hand", "queue": "waiting", "latency_ms": "service_ms"}
)

// settings is the object that a pilot of the variant is given, in the platform's words.
func (v *variant) settings() map[string]any {
	names := func(list []string) (all []any) {
		for _, n := range list {
			all = append(all, n)
		}
		return all
	}
	var kinds, fields []string
	for _, k := range v.Tier[0].Kind {
		kinds = append(kinds, k.Name)
	}
	for _, f := range v.Tier[0].Report.Fields {
		fields = append(fields, platformFields[f])
	}
	var profiles []any
	for _, c := range v.Class {
		p := map[string]any{"name": c.Name, "aim": c.Aim * NsPerMs, "give_up": c.Deadline * NsPerMs, "importance": c.Worth,
			"late_worth": c.Late, "idempotency": platformEffects[c.Effect], "group": c.Group, "window": c.Window * NsPerMs}
		if len(c.OnlyKinds) > 0 {
			p["only_kinds"] = names(c.OnlyKinds)
		}
		profiles = append(profiles, p)
	}
	prices := map[string]any{}
	for name, price := range v.Prices {
		prices[name] = price
	}
	return map[string]any{"dcs": names(v.Net.Zones), "kinds": names(kinds), "profiles": profiles, "instances": 5.0, "rank": 2.0,
		"zone": v.Net.Zones[0], "prices": prices, "report": map[string]any{"fields": names(fields), "how": "inline"},
		"obligations": map[string]any{"drain_grace": v.Rules["drain_grace_ms"] * NsPerMs, "fall": v.Rules["fall_ms"] * NsPerMs,
			"fall_multiple": v.Rules["fall_multiple"], "cold": 9e9, "cold_from": 0.2},
		"extra": map[string]any{"proxy_count": float64(20 * len(v.Net.Zones)), "egress_per_s": 900.0, "backlog": 5000.0, "envelope": v.Fam.Head,
			"pushes_allowed": v.Fam.MessagesMost, "counted_over": 1e10, "order_price": v.Fam.OrderPrice, "admission": v.Fam.Admit,
			"lb_method": v.Fam.Pick, "by_zone": v.Fam.Deal == "zone", "empty_for": 4e9, "conns_least": 60.0,
			"bootstrap": v.Fam.Standing}}
}

// TestVariants guards other customers: every class, zone, limit and price of the deployments in deploy/sites reaches the
// module from the settings, under whatever names, and each zone's proxies get tables that serve each class where it may go.
func TestVariants(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 2)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			v := &variant{}
			_, err := toml.DecodeFile(file, v)
			require.NoError(t, err)
			d := Parse(v.settings())
			terms := d.Settings
			assert.Equal(t, v.Net.Zones, d.Zones.All())
			assert.Len(t, d.Machines.All(), len(v.Tier[0].Kind))
			for name, price := range v.Prices {
				assert.Equal(t, price, terms[name], name)
			}
			for ours, want := range map[string]any{"drain_grace": v.Rules["drain_grace_ms"], "fall": v.Rules["fall_ms"],
				"fall_multiple": v.Rules["fall_multiple"], "cold": 9000.0, "cold_from": 0.2, "head_lines": v.Fam.Head,
				"messages_most": v.Fam.MessagesMost, "messages_over": 10000.0, "order_price": v.Fam.OrderPrice, "admission": v.Fam.Admit,
				"standing": v.Fam.Standing, "pick": v.Fam.Pick, "by_zone": v.Fam.Deal == "zone", "lines_per_s": 900.0, "backlog": 5000.0, "bare_for": 4000.0,
				"proxy_count": float64(20 * len(v.Net.Zones)), "conns_least": 60.0, "instances": 5.0, "rank": 2.0} {
				assert.Equal(t, want, terms[ours], ours)
			}
			var fields []any
			for _, f := range v.Tier[0].Report.Fields {
				fields = append(fields, ourFields[f])
			}
			assert.Equal(t, fields, terms["fields"])
			kinds, _ := terms["req_kinds"].([]any)
			require.Len(t, kinds, len(v.Class))
			for i, c := range v.Class {
				kind, _ := kinds[i].(map[string]any)
				assert.Equal(t, c.Name, d.Classes.Name(i))
				for ours, want := range map[string]any{"response_target": c.Aim, "client_timeout": c.Deadline, "payoff": c.Worth,
					"late_payoff": c.Late, "repeats": ourEffects[c.Effect], "group": c.Group, "window": c.Window} {
					assert.Equal(t, want, kind[ours], "%s %s", c.Name, ours)
				}
				machines, _ := kind["only_machines"].([]any)
				assert.Len(t, machines, len(c.OnlyKinds), c.Name)
			}
			v.tables(t, d)
		})
	}
}

// tables has the module lay tables for a fleet of the variant.
func (v *variant) tables(t *testing.T, d *Deployment) {
	var list planner.EndpointUpdate
	machine := map[int]int{}
	for z := range d.Zones.Len() {
		for m := range d.Machines.Len() {
			for range 3 {
				i := len(list.Entries)
				machine[i] = m
				list.Entries = append(list.Entries, planner.Entry{Endpoint: i, Zone: z, Machine: m, Weight: 1})
			}
		}
	}
	list.Mode = planner.Snapshot
	notes := []planner.Event{list}
	for p := range 20 * d.Zones.Len() {
		notes = append(notes, planner.ProxyJoined{Proxy: p, Zone: p % d.Zones.Len(), Rate: 5})
	}
	b, lines, bound := planner.New(1, d.Settings), map[int]map[int]float64{}, map[string]int{}
	for s := range 60 {
		for _, o := range b.Handle(float64(500*s), notes) {
			switch o := o.(type) {
			case planner.SetWeight:
				if lines[o.Table] == nil {
					lines[o.Table] = map[int]float64{}
				}
				lines[o.Table][o.Endpoint] = o.Weight
			case planner.AssignTable:
				for k := range d.Classes.Len() {
					if o.Classes == 0 || o.Classes&(1<<k) != 0 {
						bound[fmt.Sprint(o.Proxy, "/", k)] = o.Table
					}
				}
			case planner.SetAdmission: // nothing is full here
				assert.GreaterOrEqual(t, o.Level, map[string]float64{"share": 1, "rate": 1000}[v.Fam.Admit])
			case planner.AckRequest:
				notes = append(notes, planner.Ack{Proxy: s % 20, Number: o.Number})
			}
		}
		notes = []planner.Event{planner.TimerFired{Name: "gather"}, planner.TimerFired{Name: "bind"}}
	}
	for p := range 20 * d.Zones.Len() {
		for k, c := range v.Class {
			table, is := bound[fmt.Sprint(p, "/", k)]
			require.True(t, is, "proxy %d, %s", p, c.Name)
			open := 0
			for e, weight := range lines[table] {
				if weight == 0 {
					continue
				}
				open++
				if len(c.OnlyKinds) > 0 {
					assert.Contains(t, c.OnlyKinds, d.Machines.Name(machine[e]), c.Name)
				}
			}
			assert.Positive(t, open, "proxy %d, %s", p, c.Name)
		}
	}
}
