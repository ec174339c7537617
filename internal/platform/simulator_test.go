package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/controller"
	"indigousher/internal/simulator"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/healthcheck"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// recordingRelay is a controller.Relay that records the enqueued commands as texts.
type recordingRelay struct{ lines []string }

// Enqueue records the commands of the kinds that the simulator protocol supports too.
func (r *recordingRelay) Enqueue(turn []planner.Command, endpoint func(int) string) {
	for _, c := range turn {
		switch c := c.(type) {
		case planner.SetWeight:
			r.lines = append(r.lines, fmt.Sprintf("line %d %s %.9g", c.Table, endpoint(c.Endpoint), c.Weight))
		case planner.AssignTable:
			r.lines = append(r.lines, fmt.Sprintf("bind %d %d %d", c.Proxy, c.Table, c.Classes))
		case planner.AckRequest:
			r.lines = append(r.lines, fmt.Sprintf("mark %d", c.Number))
		}
	}
}

// ProxyLeft does nothing.
func (r *recordingRelay) ProxyLeft(int) {}

// noEndpointSource is a controller.EndpointSource that ignores all requests.
type noEndpointSource struct{}

// Watch does nothing.
func (noEndpointSource) Watch(bool) {}

// Fetch does nothing.
func (noEndpointSource) Fetch() {}

// parityHarness feeds one scenario to a core, as inputs from the platform, and collects the same scenario as events for
// the simulator adapter.
type parityHarness struct {
	core   *controller.Core
	events []string // JSON lines for the simulator adapter
}

// start announces six endpoints and one proxy at time 0.
func (b *parityHarness) start() {
	var entries []wire.Entry
	var hosts []string
	for i := range 6 {
		name := fmt.Sprintf("10.0.0.%d:1", i)
		zone := []string{"a", "b"}[i%2]
		entries = append(entries, wire.Entry{Endpoint: name, Zone: zone, Machine: "m2", Weight: float64(1 + i)})
		hosts = append(hosts, fmt.Sprintf(
			`{"endpoint":%q,"zone":%q,"generation_hw":"m2","mode":"live","heft":%d}`, name, zone, 1+i))
	}
	b.core.Handle(0, []controller.Input{
		controller.EndpointsListed{List: &wire.List{Whole: true, Entries: entries}},
		controller.RelayProxyJoined{Proxy: 3, Zone: "b", Rate: 7, Fresh: true},
	})
	b.events = append(b.events, `{"sim_time":0,"batch":1,"happened":[`+
		`{"kind":"spawn","i":"pilot/0","rng_seed":5,"setup":`+strings.ReplaceAll(operatorSettings, "\n", "")+`},`+
		`{"kind":"discovery","i":"pilot/0","mode":"total","hosts":[`+strings.Join(hosts, ",")+`]},`+
		`{"kind":"stream_up","i":"pilot/0","edge":3,"zone":"b","heft":7,"active":true}]}`)
}

// report reports an endpoint's load and a proxy's request counts at the given time in seconds.
func (b *parityHarness) report(second int, load float64) {
	b.core.Handle(float64(1000*second), []controller.Input{
		controller.ZoneStats{
			Zone: "b", Endpoint: "10.0.0.1:1", Attempts: 30, Failed: second, MeanMs: 20, SpanMs: 1000,
			Load: map[string]float64{"util": load, "qps": 30},
		},
		controller.ProxyStats{Proxy: 3, Class: "write", Requests: 30, SpanMs: 1000},
	})
	b.events = append(b.events, fmt.Sprintf(`{"sim_time":%d,"batch":2,"happened":[`+
		`{"kind":"tally","i":"pilot/0","endpoint":"10.0.0.1:1","zone":"b","count":30,"errors":%d,`+
		`"wait_time":20000000,"covers":1000000000,"feedback":{"cpu_share":%g,"served_ps":30}},`+
		`{"kind":"proxy_stats","i":"pilot/0","edge":3,"qos":"write","count":30,"covers":1000000000}]}`,
		1000*second*1000000, second, load))
}

// controlRound fires the timers half a second after the given time in seconds.
func (b *parityHarness) controlRound(second int) {
	nowMs := 500 + 1000*second
	b.core.Handle(float64(nowMs), nil)
	b.events = append(b.events, fmt.Sprintf(
		`{"sim_time":%d,"batch":2,"happened":[{"kind":"bell","i":"pilot/0","ref":"gather"}]}`, nowMs*1000000))
}

// TestSimulatorParity checks that the platform integration and the simulator adapter translate settings, names and
// events in the same way, so that the planner returns the same commands for one scenario.
func TestSimulatorParity(t *testing.T) {
	p := newPlacement(t, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1")
	relay := &recordingRelay{}
	harness := &parityHarness{core: controller.NewCore(controller.Options{
		Decider:        planner.New(5, p.Deployment.Settings),
		Settings:       p.Deployment.Settings,
		Zones:          p.Deployment.Zones.All(),
		Machines:       p.Deployment.Machines.All(),
		Classes:        p.Deployment.Classes.All(),
		MaxProxies:     p.MaxProxies,
		Relay:          relay,
		EndpointSource: noEndpointSource{},
		HealthChecker:  healthcheck.Disabled{},
		Gossip:         gossip.Disabled{},
		Log:            func(string) {},
		Malformed:      func(what string, _ ...string) { t.Error(what) },
	})}
	harness.start()
	harness.controlRound(0)
	for second := 1; second < 12; second++ {
		load := float64(second%5) / 2 // overloaded in enough rounds that the planner changes tables
		harness.report(second, load)
		harness.controlRound(second)
	}
	assert.Equal(t, simulatorCommands(t, harness.events), relay.lines)
	assert.Greater(t, len(relay.lines), 7, "the planner has created and changed tables")
}

// simulatorCommands feeds events to the simulator adapter and returns the resulting commands in the format of
// recordingRelay.
func simulatorCommands(t *testing.T, events []string) (lines []string) {
	var out strings.Builder
	require.NoError(t, simulator.Serve(strings.NewReader(strings.Join(events, "\n")+"\n"), &out))
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var output struct{ Orders []map[string]any }
		require.NoError(t, json.Unmarshal([]byte(text), &output))
		for _, c := range output.Orders {
			switch c["kind"] {
			case "set_weight":
				lines = append(lines, fmt.Sprintf("line %v %v %.9g", c["tbl"], c["endpoint"], c["heft"]))
			case "use_table":
				lines = append(lines, fmt.Sprintf("bind %v %v %v", c["edge"], c["tbl"], c["lanes"]))
			case "checkpoint":
				lines = append(lines, fmt.Sprintf("mark %v", c["epoch"]))
			}
		}
	}
	return lines
}
