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

// TestClock guards the one order of events: by time, those of one moment as they were asked for.
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
		c.Until(9)
		assert.Equal(rt, want, got)
	})
}

// TestDays plays every day that ships, and drawn ones that once broke rule 4 (incident 019): the rules hold, drains and
// lists are looked at in truth, and the same day gives the same events twice.
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

// TestToldInTime guards against a list that pilots do not hear of, as once here: all rules hold where nothing is told.
func TestToldInTime(t *testing.T) {
	d, err := scenario.Load("replacement")
	require.NoError(t, err)
	o, err := Play{Scenario: d, KeepEvents: true}.Run(t.Context())
	require.NoError(t, err)
	told := 0
	for _, e := range o.Events {
		if e.What == eventlog.Told && e.At > 5000 {
			told++
		}
	}
	assert.Greater(t, told, 40)
}

// TestTrace follows decisions from the first report that went into them to their application, in virtual time.
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
	assert.Equal(t, plain.Digest, o.Digest, "to be looked at changes nothing")
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
	whole := 0
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
			whole++
		}
	}
	assert.Greater(t, whole, 10)
}

// singleGroup is a fleet of endpoints alike behind one proxy that has a line to each, and no pilot.
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
		panic(err) // the text above is wrong
	}
	return d
}

// TestClosedForms holds means against queueing theory: waiting by Erlang C and by Pollaczek-Khinchine, loss by Erlang
// B, sharing, Little's law, and two choices beside one.
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
	// work is lognormal: with a variation of 1 the mean of one server's queue follows Pollaczek-Khinchine as M/M/1's
	// does
	for _, c := range []struct {
		name             string
		cores            int
		discipline       string
		rate, workMs, cv float64
		queue            int
		want             float64 // mean ms in the system
		within           float64
	}{
		{"M/G/1 with a variation of 1, as M/M/1", 1, "queue", 50, 10, 1, 1e6, 10 / (1 - 0.5), 0.05},
		{"M/G/1 with little variation", 1, "queue", 70, 10, 0.3, 1e6, 10 + 0.7*10*(1+0.09)/(2*0.3), 0.05},
		{"M/G/1 with much", 1, "queue", 50, 10, 2, 1e6, 10 + 0.5*10*(1+4)/(2*0.5), 0.12},
		{"M/G/c, by Erlang C and the usual correction", 4, "queue", 280, 10, 1, 1e6, 10 + erlangC(4, 2.8)*10/(4-2.8), 0.05},
		{"sharing, whatever the variation", 1, "sharing", 60, 10, 2, 1e6, 10 / (1 - 0.6), 0.08},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got, _ := mean(t, singleGroup(1, c.cores, c.queue, c.discipline, c.rate, c.workMs, c.cv, 200*time.Second, "weighted"))
			t.Logf("%.2f ms, %.2f by theory", got, c.want)
			assert.InEpsilon(t, c.want, got, c.within)
		})
	}
	t.Run("M/G/c/c loses by Erlang B, whatever the variation", func(t *testing.T) {
		t.Parallel()
		_, lost := mean(t, singleGroup(1, 4, 0, "queue", 300, 10, 1, 100*time.Second, "weighted"))
		t.Logf("%.4f, %.4f by theory", lost, erlangB(4, 3))
		assert.InEpsilon(t, erlangB(4, 3), lost, 0.05)
	})
	t.Run("two choices beside one", func(t *testing.T) {
		t.Parallel()
		single, _ := mean(t, singleGroup(50, 1, 1e6, "queue", 4500, 10, 1, 10*time.Second, "weighted"))
		two, _ := mean(t, singleGroup(50, 1, 1e6, "queue", 4500, 10, 1, 10*time.Second, "two"))
		want := 0.0 // mean time with two choices among many: the sum over i of rho^(2^i-2), by Mitzenmacher
		for i := 1; i < 30; i++ {
			want += math.Pow(0.9, math.Pow(2, float64(i))-2)
		}
		t.Logf("one choice %.1f ms, two %.1f; by theory for endless many %.1f and %.1f", single, two, 10/(1-0.9), 10*want)
		assert.InEpsilon(t, 10*want, two, 0.15)
		assert.Greater(t, single, 2*two)
	})
}

// TestLittle holds the mean number in hand, looked at from outside, against rate times time in the system.
func TestLittle(t *testing.T) {
	d := singleGroup(1, 4, 1e6, "queue", 300, 10, 1, 200*time.Second, "weighted")
	w := newWorld(Play{Scenario: d, WithoutPilots: true})
	w.startAll()
	w.scheduleClients()
	sum, looks := 0.0, 0.0
	for at := 1000.0; at < 200_000; at += 7.3 {
		w.Until(at)
		sum, looks = sum+float64(w.endpoints[0].process.inFlight), looks+1
	}
	o := w.outcome(0)
	assert.InEpsilon(t, float64(o.Latency.TotalCount())/200*o.Latency.Mean()/1e6, sum/looks, 0.02)
}

// TestLong guards days that are long, overloaded without end, or almost without requests on many endpoints: they end,
// keep the rules and repeat themselves.
func TestLong(t *testing.T) {
	for _, c := range []struct {
		name, text string
		served     float64
	}{
		{"two hours of few reqs", "length = \"2h\"\nclients {\n rate = 0.2\n}\nreports {\n period = \"10s\"\n}\nfleet {\n pilots = [\"a\"]\n proxies = [\"a\"]\n}\ntrouble \"drain\" {\n at = \"1h\"\n for = \"10s\"\n who = [\"a-std-0\"]\n}\n", 0.999},
		{"overload without end", "length = \"20s\"\nclients {\n rate = 2500\n retries = 2\n}\n", 0.05},
		{"a thousand endpoints and a req now and then", "length = \"20s\"\nclients {\n rate = 2\n}\nendpoints \"std\" {\n zone = \"a\"\n count = 1000\n}\n", 0.999},
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

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}

func erlangB(c int, load float64) float64 {
	b := 1.0
	for i := 1; i <= c; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}

func erlangC(c int, load float64) float64 {
	b := erlangB(c, load)
	return b / (1 - load/float64(c)*(1-b))
}

// BenchmarkWholeDay plays 24 virtual hours of one pilot and few requests.
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

// BenchmarkEmulator measures events a second beside a plain loop over the same number of events.
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
			c.Until(math.Inf(1))
			b.ReportMetric(float64(c.Events)/time.Since(began).Seconds(), "plain-events/s")
		})
	}
}
