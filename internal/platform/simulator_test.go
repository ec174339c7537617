package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
	"indigousher/internal/edge/peers"
	"indigousher/internal/edge/probe"
	"indigousher/internal/pilot"
	"indigousher/internal/simwire"
	"indigousher/internal/wire"
)

// recordingRelay keeps what a core hands to its relay.
type recordingRelay struct{ lines []string }

func (k *recordingRelay) Carry(turn []brain.Order, endpoint func(int) string) {
	for _, o := range turn {
		switch o := o.(type) {
		case brain.SetLine:
			k.lines = append(k.lines, fmt.Sprintf("line %d %s %.9g", o.Table, endpoint(o.Endpoint), o.Weight))
		case brain.Bind:
			k.lines = append(k.lines, fmt.Sprintf("bind %d %d %d", o.Proxy, o.Table, o.Kinds))
		case brain.Mark:
			k.lines = append(k.lines, fmt.Sprintf("mark %d", o.Number))
		}
	}
}

func (k *recordingRelay) Gone(int) {}

// TestSameSettingsSameOrders guards that simulator and platform give the module the same: one translation of settings
// and names, the same notes, and so the same orders.
func TestSameSettingsSameOrders(t *testing.T) {
	p, k := placement(t, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"), &recordingRelay{}
	c := pilot.NewCore(pilot.Plan{Decider: brain.New(5, p.Deployment.Terms), Terms: p.Deployment.Terms, Zones: p.Deployment.Zones.All(),
		Machines: p.Deployment.Machines.All(), Kinds: p.Deployment.Kinds.All(), MostProxies: p.Proxies, Relay: k, List: noEndpointSource{}, Prober: probe.Never{},
		Peers: peers.Nobody{}, Log: func(string) {}, Odd: func(what string, _ ...string) { t.Error(what) }})
	entries, hosts := []wire.Entry{}, []string{}
	for i := range 6 {
		name := fmt.Sprintf("10.0.0.%d:1", i)
		entries = append(entries, wire.Entry{Endpoint: name, Zone: []string{"a", "b"}[i%2], Machine: "m2", Weight: float64(1 + i)})
		hosts = append(hosts, fmt.Sprintf(`{"endpoint":%q,"zone":%q,"generation_hw":"m2","mode":"live","heft":%d}`, name, []string{"a", "b"}[i%2], 1+i))
	}
	c.Handle(0, []pilot.Input{pilot.Listed{List: &wire.List{Whole: true, Entries: entries}}, pilot.Relayed{Proxy: 3, Zone: "b", Rate: 7, Fresh: true}})
	events := []string{`{"sim_time":0,"batch":1,"happened":[{"kind":"spawn","i":"pilot/0","rng_seed":5,"setup":` + strings.ReplaceAll(settings, "\n", "") +
		`},{"kind":"discovery","i":"pilot/0","mode":"total","hosts":[` + strings.Join(hosts, ",") +
		`]},{"kind":"stream_up","i":"pilot/0","edge":3,"zone":"b","heft":7,"active":true}]}`}
	gather := func(s int) {
		c.Handle(float64(500+1000*s), nil)
		events = append(events, fmt.Sprintf(`{"sim_time":%d,"batch":2,"happened":[{"kind":"bell","i":"pilot/0","ref":"gather"}]}`,
			(500+1000*s)*1000000))
	}
	gather(0)
	for s := 1; s < 12; s++ {
		load := float64(s%5) / 2 // full for long enough that tables change
		c.Handle(float64(1000*s), []pilot.Input{pilot.ZoneMet{Zone: "b", Endpoint: "10.0.0.1:1", Tries: 30, Failed: s, MeanMs: 20,
			SpanMs: 1000, Load: map[string]float64{"util": load, "qps": 30}},
			pilot.ProxyDemand{Proxy: 3, Kind: "write", Reqs: 30, SpanMs: 1000}})
		events = append(events, fmt.Sprintf(`{"sim_time":%d,"batch":2,"happened":[{"kind":"tally","i":"pilot/0","endpoint":"10.0.0.1:1",`+
			`"zone":"b","count":30,"errors":%d,"wait_time":20000000,"covers":1000000000,"feedback":{"cpu_share":%g,"served_ps":30}},`+
			`{"kind":"proxy_stats","i":"pilot/0","edge":3,"qos":"write","count":30,"covers":1000000000}]}`, 1000*s*1000000, s, load))
		gather(s)
	}
	assert.Equal(t, simulated(t, events), k.lines)
	assert.Greater(t, len(k.lines), 7, "tables were laid and changed")
}

// simulated plays events through the simulator's adapter.
func simulated(t *testing.T, events []string) (lines []string) {
	var out strings.Builder
	require.NoError(t, simwire.Serve(strings.NewReader(strings.Join(events, "\n")+"\n"), &out))
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var r struct{ Orders []map[string]any }
		require.NoError(t, json.Unmarshal([]byte(text), &r))
		for _, o := range r.Orders {
			switch o["kind"] {
			case "set_weight":
				lines = append(lines, fmt.Sprintf("line %v %v %.9g", o["tbl"], o["endpoint"], o["heft"]))
			case "use_table":
				lines = append(lines, fmt.Sprintf("bind %v %v %v", o["edge"], o["tbl"], o["lanes"]))
			case "checkpoint":
				lines = append(lines, fmt.Sprintf("mark %v", o["epoch"]))
			}
		}
	}
	return lines
}

type noEndpointSource struct{}

func (noEndpointSource) Watch(bool) {}

func (noEndpointSource) Fetch() {}
