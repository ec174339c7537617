package telemetry

import (
	"fmt"
	"runtime"
	"testing"

	"indigousher/planner"
)

// BenchmarkAdd measures the throughput of Add on one core in lines per second, and the heap in use after the run. Each
// operation adds one report of 20 lines.
func BenchmarkAdd(b *testing.B) {
	for _, c := range []struct{ endpoints, senders int }{
		{100, 100},
		{1000, 1000},
		{1000, 20000},
		{10000, 1000},
		{10000, 20000},
	} {
		b.Run(fmt.Sprintf("endpoints=%d/senders=%d", c.endpoints, c.senders), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			o := testOptions()
			o.LinesPerS = 1e9
			aggregator := New[float64](o)
			for e := range c.endpoints {
				aggregator.UpdateEndpoint(0, e, planner.Ready, 0)
			}
			for s := range c.senders {
				aggregator.Join(0, s, s%5)
			}
			r := &Report[float64]{SpanMs: 1000, EndpointLines: make([]EndpointLine[float64], 20)}
			now, flushed, i := 0.0, 0.0, 0
			b.ReportAllocs()
			for b.Loop() {
				now += 1000 / float64(c.senders)
				r.Sender, r.Seq, r.AtMs = i%c.senders, uint64(i/c.senders+1), now
				for k := range r.EndpointLines {
					r.EndpointLines[k] = EndpointLine[float64]{Endpoint: (i*7 + k*k*13) % c.endpoints, Attempts: 3, MeanMs: 20, Load: 0.5, HasLoad: true}
				}
				aggregator.Add(now, r)
				if i++; now-flushed >= 1000 {
					aggregator.Flush(now, now-flushed)
					aggregator.Rebalance(now)
					flushed = now
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(b.N*20)/b.Elapsed().Seconds(), "lines/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
			runtime.KeepAlive(aggregator)
		})
	}
}
