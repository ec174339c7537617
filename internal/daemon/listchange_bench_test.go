package daemon

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// Size of a large deployment.
const (
	manyProxies   = 450
	manyEndpoints = 328
)

var zones = []string{"a", "b", "c"}

// allEndpoints returns the endpoint list entries of manyEndpoints endpoints, spread evenly over the zones.
func allEndpoints() []wire.Entry {
	var entries []wire.Entry
	for i := range manyEndpoints {
		entries = append(entries, wire.Entry{
			Endpoint: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			Zone:     zones[i%3],
			Machine:  "std",
			Weight:   1,
		})
	}
	return entries
}

// benchConfig returns a configuration without a limit on the number of messages to a proxy.
func benchConfig(listAddress string, proxies int) config.Pilot {
	cfg := config.Defaults()
	cfg.Zones = zones
	cfg.Machines = []string{"std"}
	cfg.Kinds = []config.RequestClass{{
		Name:           "read",
		Repeats:        "replayable",
		ResponseTarget: time.Second,
		ClientTimeout:  3 * time.Second,
		Payoff:         1,
	}}
	cfg.Zone = "a"
	cfg.Listen = "127.0.0.1:0"
	cfg.Admin = ""
	cfg.ListAddress = listAddress
	cfg.Proxies = proxies
	cfg.MessagesMost = 0
	cfg.Plain = true
	return cfg
}

// setPhase sets the phase of one endpoint in each zone, and returns the changed entries.
func setPhase(entries []wire.Entry, phase int) []wire.Entry {
	changed := entries[:len(zones)]
	for i := range changed {
		changed[i].Phase = phase
	}
	return changed
}

// BenchmarkListChange measures the time from a change of the endpoint list until each proxy has applied it, over
// sockets in a full-size deployment. In each change, one endpoint in each zone starts to drain or becomes ready again.
func BenchmarkListChange(b *testing.B) {
	for _, linesPerS := range []float64{12000, 1e9} {
		b.Run(fmt.Sprintf("lines_per_s=%.0e", linesPerS), func(b *testing.B) { benchmarkListChange(b, linesPerS) })
	}
}

func benchmarkListChange(b *testing.B, linesPerS float64) {
	events := eventlog.NewLog()
	source := registry.New(events.Stream("list"))
	require.NoError(b, source.Start())
	defer source.Close()
	entries := allEndpoints()
	source.Put(0, entries...)
	cfg := benchConfig(source.Address(), manyProxies)
	cfg.LinesPerS = linesPerS
	cfg.Backlog = 1.5 * linesPerS
	d, err := New(&cfg, Options{})
	require.NoError(b, err)
	stop, ended := run(b, d)
	for i := range manyProxies {
		p := startBenchProxy(b, d, events, i)
		defer p.Kill()
	}
	bound := awaitLines(events, 0)
	var all []float64 // ms until applied, for each proxy and change
	phase := wire.PhaseReady
	for b.Loop() {
		time.Sleep(1500 * time.Millisecond) // longer than a control round
		phase = wire.PhaseDraining - phase
		since := events.Now()
		source.Put(0, setPhase(entries, phase)...)
		all = append(all, awaitLines(events, since)...)
	}
	slices.Sort(all)
	b.ReportMetric(bound[len(bound)-1], "ms-all-bound")
	b.ReportMetric(all[len(all)/2], "ms-p50")
	b.ReportMetric(all[len(all)*99/100], "ms-p99")
	b.ReportMetric(all[len(all)-1], "ms-worst")
	stop()
	require.NoError(b, <-ended)
}

// startBenchProxy starts the testbed proxy number i, which connects to the daemon.
func startBenchProxy(b *testing.B, d *Daemon, events *eventlog.Log, i int) *proxy.Proxy {
	name := fmt.Sprintf("p%d", i)
	p := proxy.New(proxy.Options{
		Name:        name,
		Zone:        zones[i%3],
		Routing:     routing.Policy{Classes: []string{"read"}},
		Rate:        2,
		StaticTable: func() []string { return nil },
		Pilots:      func() []string { return []string{d.Address()} },
		Dial:        (&net.Dialer{}).DialContext,
		RedialPause: 50 * time.Millisecond,
	}, events.Stream(name))
	require.NoError(b, p.Start())
	return p
}

// awaitLines waits until each proxy has applied lines at or after the time since, and returns the delays in ms, sorted.
func awaitLines(events *eventlog.Log, since float64) []float64 {
	for {
		applied := linesApplied(events, since)
		if len(applied) < manyProxies {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var took []float64
		for _, at := range applied {
			took = append(took, at-since)
		}
		slices.Sort(took)
		return took
	}
}

// linesApplied returns, by proxy name, the time in ms at which the proxy last applied lines. It omits proxies that have
// not applied any at or after the time since.
func linesApplied(events *eventlog.Log, since float64) map[string]float64 {
	applied := map[string]float64{}
	for _, e := range events.Events() {
		if e.What == eventlog.Lines && e.At >= since && e.N > 0 {
			applied[e.Who] = e.At
		}
	}
	return applied
}
