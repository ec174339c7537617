package settings

import (
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// variant is the content of a file in deploy/sites, which describes one deployment.
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
	platformFigures = map[string]string{
		"util":       "cpu_share",
		"qps":        "served_ps",
		"inflight":   "busy_reqs",
		"queue":      "pending",
		"latency_ms": "svc_ms",
	}
	plannerFigures = map[string]string{
		"util":       "util",
		"qps":        "rate",
		"inflight":   "in_hand",
		"queue":      "waiting",
		"latency_ms": "service_ms",
	}
	platformEffects = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
	plannerEffects  = map[string]string{"safe": "replayable", "keyed": "uniqued", "unsafe": "non-replayable"}
)

// settings returns the settings of a controller in the deployment, under the names that the platform uses.
func (v *variant) settings() map[string]any {
	var models, fields []string
	for _, m := range v.Tier[0].Kind {
		models = append(models, m.Name)
	}
	for _, f := range v.Tier[0].Report.Fields {
		fields = append(fields, platformFigures[f])
	}
	return map[string]any{
		"dcs":       asList(v.Net.Zones),
		"kinds":     asList(models),
		"profiles":  v.profiles(),
		"instances": 5.0,
		"rank":      2.0,
		"zone":      v.Net.Zones[0],
		"prices":    asSettings(v.Prices),
		"report":    map[string]any{"fields": asList(fields), "how": "inline"},
		"obligations": map[string]any{
			"drain_grace":   v.Rules["drain_grace_ms"] * NsPerMs,
			"fall":          v.Rules["fall_ms"] * NsPerMs,
			"fall_multiple": v.Rules["fall_multiple"],
			"cold":          9e9,
			"cold_from":     0.2,
		},
		"extra": map[string]any{
			"proxy_count":    float64(20 * len(v.Net.Zones)),
			"egress_per_s":   900.0,
			"backlog":        5000.0,
			"envelope":       v.Fam.Head,
			"pushes_allowed": v.Fam.MessagesMost,
			"counted_over":   1e10,
			"order_price":    v.Fam.OrderPrice,
			"admission":      v.Fam.Admit,
			"lb_method":      v.Fam.Pick,
			"by_zone":        v.Fam.Deal == "zone",
			"empty_for":      4e9,
			"conns_least":    60.0,
			"bootstrap":      v.Fam.Standing,
		},
	}
}

// profiles returns the settings of the request classes, under the names that the platform uses.
func (v *variant) profiles() (profiles []any) {
	for _, c := range v.Class {
		p := map[string]any{
			"name":        c.Name,
			"aim":         c.Aim * NsPerMs,
			"give_up":     c.Deadline * NsPerMs,
			"importance":  c.Worth,
			"late_worth":  c.Late,
			"idempotency": platformEffects[c.Effect],
			"group":       c.Group,
			"window":      c.Window * NsPerMs,
		}
		if len(c.OnlyKinds) > 0 {
			p["only_kinds"] = asList(c.OnlyKinds)
		}
		profiles = append(profiles, p)
	}
	return profiles
}

// asList returns names in the form that decoding JSON produces.
func asList(names []string) (list []any) {
	for _, n := range names {
		list = append(list, n)
	}
	return list
}

// asSettings returns numbers in the form that decoding JSON produces.
func asSettings(figures map[string]float64) map[string]any {
	settings := map[string]any{}
	for name, v := range figures {
		settings[name] = v
	}
	return settings
}

// TestVariants checks, for each deployment in deploy/sites, that all request classes, zones, limits and prices reach
// the planner, and that the planner assigns each proxy tables in which each class has allowed endpoints only.
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
			v.checkSettings(t, d)
			v.checkClasses(t, d)
			v.checkTables(t, d)
		})
	}
}

// checkSettings checks all settings except those of request classes.
func (v *variant) checkSettings(t *testing.T, d *Deployment) {
	assert.Equal(t, v.Net.Zones, d.Zones.All())
	assert.Len(t, d.Machines.All(), len(v.Tier[0].Kind))
	for name, price := range v.Prices {
		assert.Equal(t, price, d.Settings[name], name)
	}
	for name, want := range map[string]any{
		"drain_grace":   v.Rules["drain_grace_ms"],
		"fall":          v.Rules["fall_ms"],
		"fall_multiple": v.Rules["fall_multiple"],
		"cold":          9000.0,
		"cold_from":     0.2,
		"head_lines":    v.Fam.Head,
		"messages_most": v.Fam.MessagesMost,
		"messages_over": 10000.0,
		"order_price":   v.Fam.OrderPrice,
		"admission":     v.Fam.Admit,
		"standing":      v.Fam.Standing,
		"pick":          v.Fam.Pick,
		"by_zone":       v.Fam.Deal == "zone",
		"lines_per_s":   900.0,
		"backlog":       5000.0,
		"bare_for":      4000.0,
		"proxy_count":   float64(20 * len(v.Net.Zones)),
		"conns_least":   60.0,
		"instances":     5.0,
		"rank":          2.0,
	} {
		assert.Equal(t, want, d.Settings[name], name)
	}
	var fields []any
	for _, f := range v.Tier[0].Report.Fields {
		fields = append(fields, plannerFigures[f])
	}
	assert.Equal(t, fields, d.Settings["fields"])
}

// checkClasses checks the settings of the request classes.
func (v *variant) checkClasses(t *testing.T, d *Deployment) {
	classes, _ := d.Settings["req_kinds"].([]any)
	require.Len(t, classes, len(v.Class))
	for i, c := range v.Class {
		class, _ := classes[i].(map[string]any)
		assert.Equal(t, c.Name, d.Classes.Name(i))
		for name, want := range map[string]any{
			"response_target": c.Aim,
			"client_timeout":  c.Deadline,
			"payoff":          c.Worth,
			"late_payoff":     c.Late,
			"repeats":         plannerEffects[c.Effect],
			"group":           c.Group,
			"window":          c.Window,
		} {
			assert.Equal(t, want, class[name], "%s %s", c.Name, name)
		}
		machines, _ := class["only_machines"].([]any)
		assert.Len(t, machines, len(c.OnlyKinds), c.Name)
	}
}

// proxyClass identifies a request class at a proxy by their indices.
type proxyClass struct{ proxy, class int }

// tableState is the routing state that results from the commands of a planner.
type tableState struct {
	weights map[int]map[int]float64 // weight of each endpoint, by table and endpoint
	bound   map[proxyClass]int      // table of each request class at a proxy
}

// checkTables lets the planner assign tables in the deployment, and checks that each class has endpoints at each proxy,
// and only endpoints of the hardware models that it allows.
func (v *variant) checkTables(t *testing.T, d *Deployment) {
	list, machineOf := v.fleet(d)
	proxies := 20 * d.Zones.Len()
	events := []planner.Event{list}
	for p := range proxies {
		events = append(events, planner.ProxyJoined{Proxy: p, Zone: p % d.Zones.Len(), Rate: 5})
	}
	p := planner.New(1, d.Settings)
	got := tableState{weights: map[int]map[int]float64{}, bound: map[proxyClass]int{}}
	for round := range 60 {
		for _, command := range p.Handle(float64(500*round), events) {
			v.apply(t, &got, command)
		}
		events = []planner.Event{planner.TimerFired{Name: "gather"}, planner.TimerFired{Name: "bind"}}
	}
	for p := range proxies {
		for i, c := range v.Class {
			number, bound := got.bound[proxyClass{p, i}]
			require.True(t, bound, "proxy %d, %s", p, c.Name)
			eligible := 0
			for endpoint, weight := range got.weights[number] {
				if weight == 0 {
					continue
				}
				eligible++
				if len(c.OnlyKinds) > 0 {
					assert.Contains(t, c.OnlyKinds, d.Machines.Name(machineOf[endpoint]), c.Name)
				}
			}
			assert.Positive(t, eligible, "proxy %d, %s", p, c.Name)
		}
	}
}

// fleet returns an endpoint list with three endpoints of each hardware model in each zone, and the model of each
// endpoint.
func (v *variant) fleet(d *Deployment) (list planner.EndpointUpdate, machineOf map[int]int) {
	list.Mode = planner.Snapshot
	machineOf = map[int]int{}
	for z := range d.Zones.Len() {
		for m := range d.Machines.Len() {
			for range 3 {
				i := len(list.Entries)
				machineOf[i] = m
				list.Entries = append(list.Entries, planner.Entry{Endpoint: i, Zone: z, Machine: m, Weight: 1})
			}
		}
	}
	return list, machineOf
}

// apply applies a command of the planner to the routing state. It also checks that all requests are admitted, because
// no endpoint is overloaded in this test.
func (v *variant) apply(t *testing.T, got *tableState, command planner.Command) {
	switch o := command.(type) {
	case planner.SetWeight:
		if got.weights[o.Table] == nil {
			got.weights[o.Table] = map[int]float64{}
		}
		got.weights[o.Table][o.Endpoint] = o.Weight
	case planner.AssignTable:
		for i := range v.Class {
			if o.Classes == 0 || o.Classes&(1<<i) != 0 {
				got.bound[proxyClass{o.Proxy, i}] = o.Table
			}
		}
	case planner.SetAdmission:
		all := map[string]float64{"share": 1, "rate": 1000}
		assert.GreaterOrEqual(t, o.Level, all[v.Fam.Admit])
	}
}
