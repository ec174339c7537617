package telemetry

import (
	"fmt"
	"runtime"
	"testing"

	"indigousher/planner"
)

// BenchmarkTake measures how many lines a second one core takes in, and what the intake holds, by size. Reports have 20
// lines each; one operation is one report.
func BenchmarkTake(b *testing.B) {
	for _, c := range []struct{ endpoints, senders int }{{100, 100}, {1000, 1000}, {1000, 20000}, {10000, 1000}, {10000, 20000}} {
		b.Run(fmt.Sprintf("endpoints=%d/senders=%d", c.endpoints, c.senders), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t := terms()
			t.LinesPerS = 1e9
			in := New[float64](t)
			for e := range c.endpoints {
				in.UpdateEndpoint(0, e, planner.Ready, 0)
			}
			for s := range c.senders {
				in.Join(0, s, s%5)
			}
			r := &Report[float64]{SpanMs: 1000, Lines: make([]Line[float64], 20)}
			now, told, i := 0.0, 0.0, 0
			b.ReportAllocs()
			for b.Loop() {
				now += 1000 / float64(c.senders)
				r.Sender, r.Seq, r.AtMs = i%c.senders, uint64(i/c.senders+1), now
				for k := range r.Lines {
					r.Lines[k] = Line[float64]{Endpoint: (i*7 + k*k*13) % c.endpoints, Tries: 3, MeanMs: 20, Load: 0.5, HasLoad: true}
				}
				in.Add(now, r)
				if i++; now-told >= 1000 {
					in.Flush(now, now-told)
					in.Rebalance(now)
					told = now
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(b.N*20)/b.Elapsed().Seconds(), "lines/s")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
			runtime.KeepAlive(in)
		})
	}
}
