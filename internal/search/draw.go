package search

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"indigousher/internal/scenario"
)

const (
	// drawStream selects the random sequence of Draw among those of the same seed.
	drawStream = 41
	// draftLength is the duration of a generated scenario.
	draftLength = 40 * time.Second
	// minLinesPerS is the minimum rate of a generated channel, in lines per second.
	minLinesPerS = 300
	// composedFaultWeight is the probability of a composed fault relative to that of each entry of faultKinds.
	composedFaultWeight = 2
	// firstTargetCandidates is the number of endpoint indexes, from 0, among which a composed fault selects its target.
	firstTargetCandidates = 10
)

// Draw generates a random scenario with about the given number of endpoints. The order of the random draws must not
// change, because stored seeds would then give other scenarios.
func Draw(seed, endpoints int) *Draft {
	g := &generator{random: rand.New(rand.NewPCG(uint64(seed), drawStream))}
	d := &Draft{Seed: seed, Endpoints: max(1, endpoints/len(zones)), Length: draftLength}
	g.draft = d
	d.Load = g.uniform(0.3, 0.75)
	d.ListDelay = milliseconds(g.uniform(100, 1500))
	d.ReportPeriod = milliseconds(g.uniform(400, 2000))
	d.SpeedSpread = g.uniform(0, 0.35)
	d.DemandSpread = g.uniform(0, 1)
	d.Queue = int(g.uniform(5, 60))
	d.RetryMode = g.random.IntN(2)
	d.Retries = g.random.IntN(3)
	d.Record = g.random.IntN(2) == 0
	d.ByZone = g.random.IntN(2) == 0
	d.Pilots = 1 + g.random.IntN(4)
	d.Proxies = max(1, int(float64(d.Endpoints)*g.uniform(0.5, 2)))
	lines := float64(6*d.Proxies) * g.uniform(12, 40)
	d.LinesPerS = int(max(minLinesPerS, lines))
	d.MaxMessages = 20 + g.random.IntN(30)
	for range 1 + g.random.IntN(5) {
		d.Faults = append(d.Faults, g.drawFaults()...)
	}
	d.sortFaults()
	return d
}

// generator generates the faults of a draft.
type generator struct {
	random *rand.Rand
	draft  *Draft
	zone   string // zone of the current fault
}

// uniform returns a uniformly distributed random number between low and high.
func (g *generator) uniform(low, high float64) float64 { return low + (high-low)*g.random.Float64() }

// drawFraction returns a random number between 0.02 and most, rounded to three decimal places. It is used for
// Fault.Fraction and for values of Fault.Size that are fractions.
func (g *generator) drawFraction(most float64) float64 {
	return math.Round(g.uniform(0.02, most)*1000) / 1000
}

// drawDuration returns a random duration between bounds in ms.
func (g *generator) drawDuration(low, high float64) time.Duration {
	return milliseconds(g.uniform(low, high))
}

// drawPilotCount returns a random number of pilots, between 1 and all pilots of the draft.
func (g *generator) drawPilotCount() int { return 1 + g.random.IntN(g.draft.Pilots) }

// faultKind is a fault type of scenario files. draw sets the random parameters of a fault of this type.
type faultKind struct {
	name string
	draw func(g *generator, f *scenario.Fault)
}

// faultKinds lists the fault types of generated scenarios. Their order must not change, because stored seeds would
// then give other scenarios.
var faultKinds = []faultKind{
	{"hang", fractionDrawer(0.3)},
	{"fast_errors", func(g *generator, f *scenario.Fault) {
		f.Fraction = g.drawFraction(0.3)
		f.Size = g.drawFraction(1)
	}},
	{"class_fail", func(g *generator, f *scenario.Fault) {
		f.Fraction = g.drawFraction(0.4)
		f.Size = g.drawFraction(1)
		f.Class = "book"
	}},
	{"vanish", fractionDrawer(0.25)},
	{"crash", fractionDrawer(0.3)},
	{"restart", fractionDrawer(0.3)},
	{"drain", fractionDrawer(0.3)},
	{"preempt", func(g *generator, f *scenario.Fault) {
		f.Fraction = g.drawFraction(0.3)
		f.ExtraDelay = g.drawDuration(100, 3000)
	}},
	{"flapping", func(g *generator, f *scenario.Fault) {
		f.Fraction = g.drawFraction(0.15)
		f.Interval = g.drawDuration(1500, 6000)
	}},
	{"zone_cut", func(g *generator, f *scenario.Fault) { f.Zone = g.zone }},
	{"slow_link", func(g *generator, f *scenario.Fault) {
		f.Zone = g.zone
		f.ExtraDelay = g.drawDuration(20, 600)
		f.Loss = g.drawFraction(0.3)
	}},
	{"zone_loss", func(g *generator, f *scenario.Fault) {
		f.Zone = g.zone
		f.Size = g.random.Float64()
	}},
	{"proxy_crash", fractionDrawer(0.5)},
	{"reconnect", fractionDrawer(1)},
	{"counter_down", fractionDrawer(0.7)},
	{"mute_proxy", fractionDrawer(0.4)},
	{"silent", fractionDrawer(0.3)},
	{"report_burst", func(g *generator, f *scenario.Fault) {
		f.Fraction = g.drawFraction(0.5)
		f.Size = g.uniform(2, 20)
	}},
	{"pilot_kill", func(g *generator, f *scenario.Fault) { f.Count = g.drawPilotCount() }},
	{"pilot_pause", func(g *generator, f *scenario.Fault) { f.Count = g.drawPilotCount() }},
	{"pilot_roll", func(g *generator, f *scenario.Fault) { f.ExtraDelay = g.drawDuration(100, 2000) }},
	{"list_down", func(*generator, *scenario.Fault) {}},
	{"burst", func(g *generator, f *scenario.Fault) { f.Size = g.uniform(1.1, 2) }},
	{"hot_caller", fractionDrawer(0.3)},
	{"heavy_tail", func(g *generator, f *scenario.Fault) {
		f.Fraction = g.drawFraction(0.1)
		f.Size = g.uniform(2, 20)
	}},
	{"pause", fractionDrawer(0.4)},
}

// fractionDrawer returns a draw function that sets Fault.Fraction to a random fraction up to most.
func fractionDrawer(most float64) func(*generator, *scenario.Fault) {
	return func(g *generator, f *scenario.Fault) { f.Fraction = g.drawFraction(most) }
}

// drawFaults returns one random fault, or a composed fault, which consists of several faults.
func (g *generator) drawFaults() []scenario.Fault {
	fault := scenario.Fault{At: g.drawDuration(4000, 30000)}
	fault.Duration = g.drawDuration(300, 9000)
	g.zone = zones[g.random.IntN(len(zones))]
	kind := g.random.IntN(len(faultKinds) + composedFaultWeight)
	if kind >= len(faultKinds) {
		return g.drawComposedFaults(fault)
	}
	fault.Type = faultKinds[kind].name
	faultKinds[kind].draw(g, &fault)
	return []scenario.Fault{fault}
}

// drawComposedFaults combines faults into one that faultKinds does not contain: an outage of some endpoints, a loss
// of information at the pilots during the outage, and the way in which the endpoints return. frame has the start and
// the duration of the composed fault.
func (g *generator) drawComposedFaults(frame scenario.Fault) []scenario.Fault {
	pattern := g.drawTargetPattern()
	var all []scenario.Fault
	all = append(all, g.drawOutage(frame, pattern)...)
	all = append(all, g.drawInformationLoss(frame)...)
	return append(all, g.drawReturn(frame, pattern)...)
}

// drawTargetPattern returns a random pattern of endpoint names. It matches one endpoint, or several endpoints that
// could fail together, such as those of one rack.
func (g *generator) drawTargetPattern() string {
	zone := zones[g.random.IntN(len(zones))]
	name := fmt.Sprintf("%s-std-%d", zone, g.random.IntN(firstTargetCandidates))
	switch g.random.IntN(3) {
	case 0:
		return name + "*" // endpoints of one zone whose names begin alike
	case 1:
		return "*" + name[1:] // the same endpoint in each zone
	}
	return name
}

// drawOutage returns a random fault that stops or slows the affected endpoints.
func (g *generator) drawOutage(frame scenario.Fault, pattern string) []scenario.Fault {
	names := []string{"hang", "pause", "fast_errors", "handshake_slow"}
	name := names[g.random.IntN(len(names))]
	lasts := 0.2 + 0.8*g.random.Float64()
	fault := derivedFault(frame, name, pattern, 0, lasts)
	switch name {
	case "fast_errors":
		fault.Size = g.random.Float64()
	case "handshake_slow":
		fault.Size = 50 * g.random.Float64()
		fault.ExtraDelay = milliseconds(300 * g.random.Float64())
	}
	return g.keepIfBeforeEnd(fault)
}

// drawInformationLoss returns a random fault that keeps information from the pilots or proxies during the outage, or
// nil.
func (g *generator) drawInformationLoss(frame scenario.Fault) []scenario.Fault {
	fault := frame
	switch g.random.IntN(5) {
	case 0:
		fault.Type = "list_down"
	case 1:
		fault.Type = "pilot_pause"
		fault.Count = 1
	case 2:
		fault.Type = "counter_down"
		fault.Fraction = g.random.Float64()
	default:
		return nil
	}
	return []scenario.Fault{fault}
}

// drawReturn returns a random fault that restarts, crashes or drains the affected endpoints, or nil if they recover
// when the outage ends.
func (g *generator) drawReturn(frame scenario.Fault, pattern string) []scenario.Fault {
	switch g.random.IntN(4) {
	case 0:
		after := 0.5 + g.random.Float64()
		return g.keepIfBeforeEnd(derivedFault(frame, "restart", pattern, after, 0))
	case 1:
		after := 0.5 + g.random.Float64()
		lasts := g.random.Float64()
		return g.keepIfBeforeEnd(derivedFault(frame, "crash", pattern, after, lasts))
	case 2:
		after := g.random.Float64()
		return g.keepIfBeforeEnd(derivedFault(frame, "drain", pattern, after, 0.5))
	}
	return nil
}

// derivedFault returns a fault of the given type. It starts after the start of frame by the fraction after of
// frame's duration, and lasts for the fraction lasts of it. Both fractions may exceed 1.
func derivedFault(frame scenario.Fault, name, pattern string, after, lasts float64) scenario.Fault {
	fault := frame
	fault.Type = name
	fault.TargetPatterns = []string{pattern}
	fault.At = frame.At + time.Duration(after*float64(frame.Duration))
	fault.Duration = time.Duration(lasts * float64(frame.Duration))
	return fault
}

// keepIfBeforeEnd returns the fault as a list, or nil if it starts at or after the end of the scenario.
func (g *generator) keepIfBeforeEnd(fault scenario.Fault) []scenario.Fault {
	if fault.At >= g.draft.Length {
		return nil
	}
	return []scenario.Fault{fault}
}
