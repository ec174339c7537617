package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"indigousher/internal/audit"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// TestClock checks the order of timers: by time, and timers with the same time in the order in which they were set.
func TestClock(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &Clock{}
		var got, want []string
		times := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 200).Draw(rt, "times")
		for at := range 10 {
			for i, x := range times {
				if x == at {
					want = append(want, fmt.Sprint(at, " ", i))
				}
			}
		}
		for i, x := range times {
			c.At(float64(x), func() { got = append(got, fmt.Sprint(c.Now(), " ", i)) })
		}
		c.AdvanceTo(9)
		assert.Equal(rt, want, got)
	})
}

// TestDays runs all embedded scenarios, and generated ones that once violated rule 4 (incident 019). It checks that
// no rule is violated, that the audit did check drain deadlines, and that a second run has the same events.
func TestDays(t *testing.T) {
	for _, name := range append(scenario.Names(), "../../experiments/found-5216.hcl", "../../experiments/found-5216-4.hcl",
		"../../experiments/found-5216-hang.hcl") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, err := scenario.Load(name)
			require.NoError(t, err)
			o, err := Play{Scenario: d, Audited: true}.Run(t.Context())
			require.NoError(t, err)
			for _, v := range o.Report.Verdicts {
				assert.True(t, v.Kept(), "%s: %v", v.Rule, v.Violations)
			}
			assert.Positive(t, o.Report.Verdicts[audit.DrainDeadline].Checked)
			assert.Greater(t, o.Report.Service.All.Share(), 0.8)
			again, err := Play{Scenario: d, Audited: true}.Run(t.Context())
			require.NoError(t, err)
			assert.Equal(t, o.Digest, again.Digest)
			t.Logf("%.3f, %d events", o.Report.Service.All.Share(), o.ClockEvents)
		})
	}
}

// TestPilotsNotifiedOfListChanges guards against a registry that does not notify the pilots of list changes. The
// emulator once had this fault and no rule of the audit was violated, because the audit has nothing to check without
// notifications.
func TestPilotsNotifiedOfListChanges(t *testing.T) {
	d, err := scenario.Load("replacement")
	require.NoError(t, err)
	o, err := Play{Scenario: d, KeepEvents: true}.Run(t.Context())
	require.NoError(t, err)
	notifications := 0
	for _, e := range o.Events {
		if e.What == eventlog.Told && e.At > 5000 {
			notifications++
		}
	}
	assert.Greater(t, notifications, 40)
}

// TestTrace checks that tracing does not change the events of a run, that child spans lie within the span of their
// decision, and that decisions have spans from the first load report to the application at a proxy.
func TestTrace(t *testing.T) {
	d, err := scenario.Load("bad-day-short")
	require.NoError(t, err)
	var out bytes.Buffer
	trace, err := NewTracer(&out)
	require.NoError(t, err)
	o, err := Play{Scenario: d, Trace: trace}.Run(t.Context())
	require.NoError(t, err)
	require.NoError(t, trace.Close(t.Context()))
	plain, err := Play{Scenario: d}.Run(t.Context())
	require.NoError(t, err)
	assert.Equal(t, plain.Digest, o.Digest, "tracing must not change the events")
	type span struct {
		Name               string
		StartTime, EndTime time.Time
		SpanContext        struct{ TraceID string }
	}
	spans := map[string][]span{}
	for dec := json.NewDecoder(&out); dec.More(); {
		var s span
		require.NoError(t, dec.Decode(&s))
		spans[s.SpanContext.TraceID] = append(spans[s.SpanContext.TraceID], s)
	}
	require.Greater(t, len(spans), 10)
	complete := 0
	for _, of := range spans {
		byName := map[string]span{}
		for _, s := range of {
			assert.False(t, s.EndTime.Before(s.StartTime))
			byName[s.Name] = s
		}
		root := byName["decision"]
		for _, s := range of {
			assert.False(t, s.StartTime.Before(root.StartTime) || s.EndTime.After(root.EndTime), "%s outside its decision", s.Name)
		}
		if byName["gather"].Name != "" && byName["channel"].Name != "" && byName["way"].Name != "" && byName["apply"].Name != "" {
			complete++
		}
	}
	assert.Greater(t, complete, 10)
}

// singleGroup returns a scenario without pilots, in which one proxy distributes requests over identical endpoints.
// The proxy's static table contains all endpoints.
func singleGroup(endpoints, cores, queue int, discipline string, rate, workMs, cv float64, length time.Duration, pick string) *scenario.Scenario {
	d, err := scenario.Read("one.hcl", []byte(fmt.Sprintf(`zones = ["a"]
machines = ["std"]
length = "%ds"
req_kind "read" {
  response_target = "600s"
  client_timeout = "600s"
}
demand "read" {
  work = "%gms"
  cv   = %g
}
fleet {
  proxies  = ["a"]
  standing = %d
  way      = "1ns"
}
proxies { pick = %q }
clients { rate = %g }
endpoints "std" {
  zone = "a"
  count = %d
  cores = %d
  queue = %d
  conns = 100000
  discipline = %q
}
`, int(length.Seconds()), workMs, cv, endpoints, pick, rate, endpoints, cores, queue, discipline)))
	if err != nil {
		panic(err) // the scenario text above is invalid
	}
	return d
}

// TestClosedForms compares mean latencies and losses of the emulator with queueing theory: waiting by Erlang C and
// Pollaczek-Khinchine, loss by Erlang B, processor sharing, and two random choices instead of one.
func TestClosedForms(t *testing.T) {
	mean := func(t *testing.T, d *scenario.Scenario) (took, lost float64) {
		var means, losses []float64
		for seed := range 8 {
			d.Seed = seed + 1
			o, err := Play{Scenario: d, WithoutPilots: true}.Run(t.Context())
			require.NoError(t, err)
			means = append(means, o.Latency.Mean()/1000)
			losses = append(losses, 1-float64(o.Latency.TotalCount())/float64(o.Requests))
		}
		return mean(means), mean(losses)
	}
	// Work is lognormally distributed. With a coefficient of variation of 1, the Pollaczek-Khinchine mean of a single
	// server equals that of M/M/1.
	for _, c := range []struct {
		name             string
		cores            int
		discipline       string
		rate, workMs, cv float64
		queue            int
		want             float64 // mean time in the system in ms
		within           float64 // tolerated relative error
	}{
		{"M/G/1 with a variation of 1, equal to M/M/1", 1, "queue", 50, 10, 1, 1e6, 10 / (1 - 0.5), 0.05},
		{"M/G/1 with low variation", 1, "queue", 70, 10, 0.3, 1e6, 10 + 0.7*10*(1+0.09)/(2*0.3), 0.05},
		{"M/G/1 with high variation", 1, "queue", 50, 10, 2, 1e6, 10 + 0.5*10*(1+4)/(2*0.5), 0.12},
		{"M/G/c by Erlang C with the correction for variation", 4, "queue", 280, 10, 1, 1e6, 10 + erlangC(4, 2.8)*10/(4-2.8), 0.05},
		{"processor sharing, independent of the variation", 1, "sharing", 60, 10, 2, 1e6, 10 / (1 - 0.6), 0.08},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got, _ := mean(t, singleGroup(1, c.cores, c.queue, c.discipline, c.rate, c.workMs, c.cv, 200*time.Second, "weighted"))
			t.Logf("measured %.2f ms, theory %.2f ms", got, c.want)
			assert.InEpsilon(t, c.want, got, c.within)
		})
	}
	t.Run("M/G/c/c loss by Erlang B, independent of the variation", func(t *testing.T) {
		t.Parallel()
		_, lost := mean(t, singleGroup(1, 4, 0, "queue", 300, 10, 1, 100*time.Second, "weighted"))
		t.Logf("measured loss %.4f, theory %.4f", lost, erlangB(4, 3))
		assert.InEpsilon(t, erlangB(4, 3), lost, 0.05)
	})
	t.Run("two choices compared with one", func(t *testing.T) {
		t.Parallel()
		single, _ := mean(t, singleGroup(50, 1, 1e6, "queue", 4500, 10, 1, 10*time.Second, "weighted"))
		two, _ := mean(t, singleGroup(50, 1, 1e6, "queue", 4500, 10, 1, 10*time.Second, "two"))
		want := 0.0 // mean time with two choices in a large fleet, by Mitzenmacher: the sum over i of rho^(2^i-2)
		for i := 1; i < 30; i++ {
			want += math.Pow(0.9, math.Pow(2, float64(i))-2)
		}
		t.Logf("measured: one choice %.1f ms, two choices %.1f ms; theory for infinitely many endpoints: %.1f ms and %.1f ms", single, two, 10/(1-0.9), 10*want)
		assert.InEpsilon(t, 10*want, two, 0.15)
		assert.Greater(t, single, 2*two)
	})
}

// TestLittle checks Little's law: the mean number of requests in flight, sampled every 7.3 ms, equals the request
// rate times the mean time in the system.
func TestLittle(t *testing.T) {
	d := singleGroup(1, 4, 1e6, "queue", 300, 10, 1, 200*time.Second, "weighted")
	w := newWorld(Play{Scenario: d, WithoutPilots: true})
	w.startAll()
	w.scheduleClients()
	sum, samples := 0.0, 0.0
	for at := 1000.0; at < 200_000; at += 7.3 {
		w.AdvanceTo(at)
		sum, samples = sum+float64(w.endpoints[0].process.inFlight), samples+1
	}
	o := w.outcome(0)
	assert.InEpsilon(t, float64(o.Latency.TotalCount())/200*o.Latency.Mean()/1e6, sum/samples, 0.02)
}

// TestExtremeScenarios checks a long scenario, one with permanent overload, and one with many endpoints and few
// requests. They must end without rule violations, serve the expected fraction of requests, and give the same events
// in a second run.
func TestExtremeScenarios(t *testing.T) {
	for _, c := range []struct {
		name, text string
		served     float64 // minimum fraction of requests that are served
	}{
		{"two hours with few requests", "length = \"2h\"\nclients {\n rate = 0.2\n}\nreports {\n period = \"10s\"\n}\nfleet {\n pilots = [\"a\"]\n proxies = [\"a\"]\n}\ntrouble \"drain\" {\n at = \"1h\"\n for = \"10s\"\n who = [\"a-std-0\"]\n}\n", 0.999},
		{"permanent overload", "length = \"20s\"\nclients {\n rate = 2500\n retries = 2\n}\n", 0.05},
		{"a thousand endpoints with few requests", "length = \"20s\"\nclients {\n rate = 2\n}\nendpoints \"std\" {\n zone = \"a\"\n count = 1000\n}\n", 0.999},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var digests []uint64
			for range 2 {
				d, err := scenario.Read("long.hcl", []byte("like = \"quiet\"\n"+c.text))
				require.NoError(t, err)
				o, err := Play{Scenario: d, Audited: true}.Run(t.Context())
				require.NoError(t, err)
				assert.True(t, o.Report.Kept(), "%+v", o.Report.Verdicts)
				assert.GreaterOrEqual(t, o.Report.Service.All.Share(), c.served)
				digests = append(digests, o.Digest)
				t.Logf("%d events, service %.3f", o.ClockEvents, o.Report.Service.All.Share())
			}
			assert.Equal(t, digests[0], digests[1])
		})
	}
}

// mean returns the arithmetic mean.
func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

// erlangB returns the blocking probability of M/G/c/c with an offered load in Erlang.
func erlangB(c int, load float64) float64 {
	b := 1.0
	for i := 1; i <= c; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}

// erlangC returns the probability of waiting in M/M/c with an offered load in Erlang.
func erlangC(c int, load float64) float64 {
	b := erlangB(c, load)
	return b / (1 - load/float64(c)*(1-b))
}

// BenchmarkWholeDay measures a run over 24 virtual hours with one pilot and few requests.
func BenchmarkWholeDay(b *testing.B) {
	d, err := scenario.Read("whole.hcl", []byte("like = \"quiet\"\nlength = \"24h\"\nclients {\n rate = 0.2\n}\nreports {\n period = \"10s\"\n}\nfleet {\n pilots = [\"a\"]\n proxies = [\"a\"]\n}\n"))
	require.NoError(b, err)
	var events uint64
	for b.Loop() {
		o, err := Play{Scenario: d, Audited: true}.Run(b.Context())
		require.NoError(b, err)
		require.True(b, o.Report.Kept())
		events += o.ClockEvents
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkEmulator measures clock events per second, and for comparison the rate of a clock whose timers do no
// work.
func BenchmarkEmulator(b *testing.B) {
	for _, times := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("proxies=%d", 6*times), func(b *testing.B) {
			d, err := scenario.Load("quiet")
			require.NoError(b, err)
			var all []string
			for range times {
				all = append(all, d.ProxyZones...)
			}
			d.ProxyZones, d.Proxies, d.Rate = all, len(all), d.Rate*float64(times)
			for i := range d.Groups {
				d.Groups[i].Count *= times
			}
			var events, reqs uint64
			for b.Loop() {
				o, err := Play{Scenario: d}.Run(b.Context())
				require.NoError(b, err)
				events, reqs = events+o.ClockEvents, reqs+o.Requests
			}
			took := b.Elapsed().Seconds()
			b.ReportMetric(float64(events)/took, "events/s")
			b.ReportMetric(float64(reqs)/took, "reqs/s")
			began := time.Now()
			c, n := &Clock{}, uint64(0)
			var next func()
			next = func() {
				if n++; n < events {
					c.After(float64(n%17), next)
				}
			}
			for range 1000 {
				c.After(0, next)
			}
			c.AdvanceTo(math.Inf(1))
			b.ReportMetric(float64(c.Events)/time.Since(began).Seconds(), "plain-events/s")
		})
	}
}
