// Package search draws days with overlapping troubles, looks for those that come near to a limit or break a rule, and
// shrinks what it finds to what matters. It plays them in the emulator and judges by the audit; it changes nothing.
package search

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"indigousher/internal/scenario"
)

// Draft is a drawn day: its fleet and its troubles, as a file would tell them.
type Draft struct {
	Seed                      int
	Endpoints, Proxies        int // in each of three zones
	Pilots                    int
	Load                      float64 // of the fleet's capacity
	Length                    time.Duration
	ListLate, Period          time.Duration
	SpeedSpread, DemandSpread float64
	Queue                     int
	RetryHow, Retries         int
	Record, ByZone            bool
	Faults                    []scenario.Fault
	LinesPerS, MaxMessages    int
}

var zones = []string{"a", "b", "c"}

// Draw draws a day of about so many endpoints.
func Draw(seed, endpoints int) *Draft {
	rnd := rand.New(rand.NewPCG(uint64(seed), 41))
	between := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	d := &Draft{Seed: seed, Endpoints: max(1, endpoints/3), Load: between(0.3, 0.75), Length: 40 * time.Second,
		ListLate: milliseconds(between(100, 1500)), Period: milliseconds(between(400, 2000)), SpeedSpread: between(0, 0.35), DemandSpread: between(0, 1),
		Queue: int(between(5, 60)), RetryHow: rnd.IntN(2), Retries: rnd.IntN(3), Record: rnd.IntN(2) == 0, ByZone: rnd.IntN(2) == 0,
		Pilots: 1 + rnd.IntN(4)}
	d.Proxies = max(1, int(float64(d.Endpoints)*between(0.5, 2)))
	lines := float64(6*d.Proxies) * between(12, 40)
	d.LinesPerS = int(max(300, lines))
	d.MaxMessages = 20 + rnd.IntN(30)
	for range 1 + rnd.IntN(5) {
		d.Faults = append(d.Faults, drawFaults(rnd, d)...)
	}
	d.sortFaults()
	return d
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (d *Draft) sortFaults() {
	slices.SortStableFunc(d.Faults, func(a, b scenario.Fault) int { return int(a.At - b.At) })
}

// drawFaults draws one trouble, or several that strike the same at once.
func drawFaults(rnd *rand.Rand, d *Draft) []scenario.Fault {
	between := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	t := scenario.Fault{At: milliseconds(between(4000, 30000)), For: milliseconds(between(300, 9000))}
	zone := zones[rnd.IntN(len(zones))]
	part := func(most float64) float64 { return math.Round(between(0.02, most)*1000) / 1000 }
	kinds := []func() []scenario.Fault{
		func() []scenario.Fault { t.What, t.Part = "hang", part(0.3); return []scenario.Fault{t} },
		func() []scenario.Fault {
			t.What, t.Part, t.Size = "fast_errors", part(0.3), part(1)
			return []scenario.Fault{t}
		},
		func() []scenario.Fault {
			t.What, t.Part, t.Size, t.Kind = "class_fail", part(0.4), part(1), "book"
			return []scenario.Fault{t}
		},
		func() []scenario.Fault { t.What, t.Part = "vanish", part(0.25); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "crash", part(0.3); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "restart", part(0.3); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "drain", part(0.3); return []scenario.Fault{t} },
		func() []scenario.Fault {
			t.What, t.Part, t.Extra = "preempt", part(0.3), milliseconds(between(100, 3000))
			return []scenario.Fault{t}
		},
		func() []scenario.Fault {
			t.What, t.Part, t.Every = "flapping", part(0.15), milliseconds(between(1500, 6000))
			return []scenario.Fault{t}
		},
		func() []scenario.Fault { t.What, t.Zone = "zone_cut", zone; return []scenario.Fault{t} },
		func() []scenario.Fault {
			t.What, t.Zone, t.Extra, t.Loss = "slow_link", zone, milliseconds(between(20, 600)), part(0.3)
			return []scenario.Fault{t}
		},
		func() []scenario.Fault {
			t.What, t.Zone, t.Size = "zone_loss", zone, rnd.Float64()
			return []scenario.Fault{t}
		},
		func() []scenario.Fault { t.What, t.Part = "proxy_crash", part(0.5); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "reconnect", part(1); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "counter_down", part(0.7); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "mute_proxy", part(0.4); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "silent", part(0.3); return []scenario.Fault{t} },
		func() []scenario.Fault {
			t.What, t.Part, t.Size = "report_burst", part(0.5), between(2, 20)
			return []scenario.Fault{t}
		},
		func() []scenario.Fault {
			t.What, t.Count = "pilot_kill", 1+rnd.IntN(d.Pilots)
			return []scenario.Fault{t}
		},
		func() []scenario.Fault {
			t.What, t.Count = "pilot_pause", 1+rnd.IntN(d.Pilots)
			return []scenario.Fault{t}
		},
		func() []scenario.Fault {
			t.What, t.Extra = "pilot_roll", milliseconds(between(100, 2000))
			return []scenario.Fault{t}
		},
		func() []scenario.Fault { t.What = "list_down"; return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Size = "burst", between(1.1, 2); return []scenario.Fault{t} },
		func() []scenario.Fault { t.What, t.Part = "hot_caller", part(0.3); return []scenario.Fault{t} },
		func() []scenario.Fault {
			t.What, t.Part, t.Size = "heavy_tail", part(0.1), between(2, 20)
			return []scenario.Fault{t}
		},
		func() []scenario.Fault { t.What, t.Part = "pause", part(0.4); return []scenario.Fault{t} },
		func() []scenario.Fault { return composeFaults(rnd, d, t) },
		func() []scenario.Fault { return composeFaults(rnd, d, t) },
	}
	return kinds[rnd.IntN(len(kinds))]()
}

// composeFaults makes a trouble that no list holds from primitives: who is struck, what stops for them, what is late or lies
// meanwhile, and how they return.
func composeFaults(rnd *rand.Rand, d *Draft, t scenario.Fault) (all []scenario.Fault) {
	who := fmt.Sprintf("%s-std-%d", zones[rnd.IntN(3)], rnd.IntN(10)) // a few alike: as one rack
	switch rnd.IntN(3) {
	case 0:
		who += "*"
	case 1:
		who = "*" + who[1:]
	}
	then := func(what string, after, lasts float64) {
		x := t
		x.What, x.Who, x.At, x.For = what, []string{who}, t.At+time.Duration(after*float64(t.For)), time.Duration(lasts*float64(t.For))
		if what == "fast_errors" {
			x.Size = rnd.Float64()
		}
		if what == "handshake_slow" {
			x.Size, x.Extra = 50*rnd.Float64(), milliseconds(300*rnd.Float64())
		}
		if x.At < d.Length {
			all = append(all, x)
		}
	}
	then([]string{"hang", "pause", "fast_errors", "handshake_slow"}[rnd.IntN(4)], 0, 0.2+0.8*rnd.Float64())
	switch rnd.IntN(5) { // what is late or lies
	case 0:
		x := t
		x.What = "list_down"
		all = append(all, x)
	case 1:
		x := t
		x.What, x.Count = "pilot_pause", 1
		all = append(all, x)
	case 2:
		x := t
		x.What, x.Part = "counter_down", rnd.Float64()
		all = append(all, x)
	}
	switch rnd.IntN(4) { // how they return
	case 0:
		then("restart", 0.5+rnd.Float64(), 0)
	case 1:
		then("crash", 0.5+rnd.Float64(), rnd.Float64())
	case 2:
		then("drain", rnd.Float64(), 0.5)
	}
	return all
}

// Text lays a draft out as a day file.
func (d *Draft) Text() string {
	var b strings.Builder
	quoted := func(list []string) string {
		var out []string
		for _, s := range list {
			out = append(out, fmt.Sprintf("%q", s))
		}
		return "[" + strings.Join(out, ", ") + "]"
	}
	var pilots []string
	for i := range d.Pilots {
		pilots = append(pilots, zones[i%3])
	}
	fmt.Fprintf(&b, "about  = \"Drawn: %d endpoints, %d proxies, %d pilots, load %.2f.\"\nlike   = \"quiet\"\nlength = %q\nseed   = %d\n\n",
		3*d.Endpoints, 3*d.Proxies, d.Pilots, d.Load, d.Length, d.Seed)
	fmt.Fprintf(&b, "fleet {\n  pilots  = %s\n  proxies = %s\n  times   = %d\n  record  = %v\n}\n", quoted(pilots), quoted(zones), d.Proxies, d.Record)
	fmt.Fprintf(&b, "proxies {\n  by_zone   = %v\n  try_again = %d\n}\n", d.ByZone, d.RetryHow)
	fmt.Fprintf(&b, "reports {\n  period = %q\n}\nlist {\n  late = %q\n}\n", d.Period, d.ListLate)
	fmt.Fprintf(&b, "channel {\n  lines_per_s   = %d\n  backlog       = %d\n  messages_most = %d\n}\n", d.LinesPerS, d.LinesPerS*3/2, d.MaxMessages)
	const cores, workS = 2, 0.0325
	fmt.Fprintf(&b, "clients {\n  rate    = %.1f\n  retries = %d\n  uneven  = %.2f\n}\n", d.Load*float64(3*d.Endpoints*cores)/workS, d.Retries, d.DemandSpread)
	for _, z := range zones {
		fmt.Fprintf(&b, "endpoints \"std\" {\n  zone   = %q\n  count  = %d\n  spread = %.2f\n  queue  = %d\n}\n", z, d.Endpoints, d.SpeedSpread, d.Queue)
	}
	for _, t := range d.Faults {
		b.WriteString(faultText(t, quoted))
	}
	return b.String()
}

func faultText(t scenario.Fault, quoted func([]string) string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "trouble %q {\n  at = %q\n", t.What, t.At)
	if len(t.Who) > 0 {
		fmt.Fprintf(&b, "  who = %s\n", quoted(t.Who))
	}
	for _, x := range []struct {
		name string
		v    time.Duration
	}{{"for", t.For}, {"every", t.Every}, {"extra", t.Extra}} {
		if x.v > 0 {
			fmt.Fprintf(&b, "  %s = %q\n", x.name, x.v)
		}
	}
	for _, x := range []struct {
		name string
		v    float64
	}{{"part", t.Part}, {"size", t.Size}, {"loss", t.Loss}, {"count", float64(t.Count)}} {
		if x.v > 0 {
			fmt.Fprintf(&b, "  %s = %g\n", x.name, x.v)
		}
	}
	for _, x := range [][2]string{{"zone", t.Zone}, {"kind", t.Kind}} {
		if x[1] != "" {
			fmt.Fprintf(&b, "  %s = %q\n", x[0], x[1])
		}
	}
	b.WriteString("}\n")
	return b.String()
}

// Scenario reads the draft as a file would be.
func (d *Draft) Scenario() (*scenario.Scenario, error) {
	return scenario.Read(fmt.Sprintf("drawn-%d.hcl", d.Seed), []byte(d.Text()))
}
