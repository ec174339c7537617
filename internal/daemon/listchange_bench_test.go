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

// The size that the grown deployments reach.
const (
	manyProxies   = 450
	manyEndpoints = 328
)

var zones = []string{"a", "b", "c"}

// fleet returns the entries of all endpoints.
func fleet() []wire.Entry {
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

// benchConfig returns a configuration without limits of the channel's messages.
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

// drainOrReturn changes the phase of an endpoint of each zone.
func drainOrReturn(entries []wire.Entry, phase int) []wire.Entry {
	changed := entries[:len(zones)]
	for i := range changed {
		changed[i].Phase = phase
	}
	return changed
}

// BenchmarkListChange measures on sockets, at full size, from a change of the endpoint list to each proxy having
// applied it: one endpoint of each zone drains and comes back.
func BenchmarkListChange(b *testing.B) {
	for _, linesPerS := range []float64{12000, 1e9} {
		b.Run(fmt.Sprintf("lines_per_s=%.0e", linesPerS), func(b *testing.B) { benchmarkListChange(b, linesPerS) })
	}
}

func benchmarkListChange(b *testing.B, linesPerS float64) {
	book := eventlog.NewLog()
	source := registry.New(book.Stream("list"))
	require.NoError(b, source.Start())
	defer source.Close()
	entries := fleet()
	source.Put(0, entries...)
	cfg := benchConfig(source.Address(), manyProxies)
	cfg.LinesPerS = linesPerS
	cfg.Backlog = 1.5 * linesPerS
	d, err := New(&cfg, Options{})
	require.NoError(b, err)
	stop, ended := run(b, d)
	for i := range manyProxies {
		p := startBenchProxy(b, d, book, i)
		defer p.Kill()
	}
	bound := awaitLines(book, 0)
	var all []float64 // ms, of each proxy and change
	phase := wire.PhaseReady
	for b.Loop() {
		time.Sleep(1500 * time.Millisecond) // a control round lies between
		phase = wire.PhaseDraining - phase
		since := book.Now()
		source.Put(0, drainOrReturn(entries, phase)...)
		all = append(all, awaitLines(book, since)...)
	}
	slices.Sort(all)
	b.ReportMetric(bound[len(bound)-1], "ms-all-bound")
	b.ReportMetric(all[len(all)/2], "ms-p50")
	b.ReportMetric(all[len(all)*99/100], "ms-p99")
	b.ReportMetric(all[len(all)-1], "ms-worst")
	stop()
	require.NoError(b, <-ended)
}

func startBenchProxy(b *testing.B, d *Daemon, book *eventlog.Log, i int) *proxy.Proxy {
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
	}, book.Stream(name))
	require.NoError(b, p.Start())
	return p
}

// awaitLines waits until each proxy has applied lines after a time, and returns how long each took, in ms, sorted.
func awaitLines(book *eventlog.Log, since float64) []float64 {
	for {
		applied := linesApplied(book, since)
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

// linesApplied returns when each proxy applied lines last, of those that have after a time.
func linesApplied(book *eventlog.Log, since float64) map[string]float64 {
	applied := map[string]float64{}
	for _, e := range book.Events() {
		if e.What == eventlog.Lines && e.At >= since && e.N > 0 {
			applied[e.Who] = e.At
		}
	}
	return applied
}
