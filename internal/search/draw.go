package search

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"indigousher/internal/scenario"
)

const (
	// drawStream tells the random sequence of a draft apart from others of the same seed.
	drawStream = 41
	// draftLength is the length of a drawn scenario.
	draftLength = 40 * time.Second
	// minLinesPerS is the least rate of a drawn channel.
	minLinesPerS = 300
	// composedKinds is how many times as likely a composed fault is as any one kind of the list.
	composedFaultWeight = 2
	// endpointsAlike is from how many endpoints of a zone a composed fault draws the one that it strikes first.
	firstTargetCandidates = 10
)

// Draw draws a scenario of about so many endpoints. The order of the draws is fixed: a seed stands for its scenario.
func Draw(seed, endpoints int) *Draft {
	g := &generator{random: rand.New(rand.NewPCG(uint64(seed), drawStream))}
	d := &Draft{Seed: seed, Endpoints: max(1, endpoints/len(zones)), Length: draftLength}
	g.draft = d
	d.Load = g.uniform(0.3, 0.75)
	d.ListLate = milliseconds(g.uniform(100, 1500))
	d.Period = milliseconds(g.uniform(400, 2000))
	d.SpeedSpread = g.uniform(0, 0.35)
	d.DemandSpread = g.uniform(0, 1)
	d.Queue = int(g.uniform(5, 60))
	d.RetryHow = g.random.IntN(2)
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

// generator draws the faults of a draft.
type generator struct {
	random *rand.Rand
	draft  *Draft
	zone   string // drawn for each fault
}

func (g *generator) uniform(low, high float64) float64 { return low + (high-low)*g.random.Float64() }

// part draws what part of those of its kind a fault strikes, or a size from 0 to 1.
func (g *generator) drawFraction(most float64) float64 {
	return math.Round(g.uniform(0.02, most)*1000) / 1000
}

// duration draws a duration between bounds in ms.
func (g *generator) drawDuration(low, high float64) time.Duration {
	return milliseconds(g.uniform(low, high))
}

// pilots draws a number of pilots.
func (g *generator) drawPilotCount() int { return 1 + g.random.IntN(g.draft.Pilots) }

// faultKind is a kind of fault, by its name in scenario files, with what is drawn for it.
type faultKind struct {
	name string
	draw func(g *generator, f *scenario.Fault)
}

// faultKinds are the kinds that are drawn. Their order belongs to the meaning of a seed.
var faultKinds = []faultKind{
	{"hang", fractionDrawer(0.3)},
	{"fast_errors", func(g *generator, f *scenario.Fault) {
		f.Part = g.drawFraction(0.3)
		f.Size = g.drawFraction(1)
	}},
	{"class_fail", func(g *generator, f *scenario.Fault) {
		f.Part = g.drawFraction(0.4)
		f.Size = g.drawFraction(1)
		f.Kind = "book"
	}},
	{"vanish", fractionDrawer(0.25)},
	{"crash", fractionDrawer(0.3)},
	{"restart", fractionDrawer(0.3)},
	{"drain", fractionDrawer(0.3)},
	{"preempt", func(g *generator, f *scenario.Fault) {
		f.Part = g.drawFraction(0.3)
		f.Extra = g.drawDuration(100, 3000)
	}},
	{"flapping", func(g *generator, f *scenario.Fault) {
		f.Part = g.drawFraction(0.15)
		f.Every = g.drawDuration(1500, 6000)
	}},
	{"zone_cut", func(g *generator, f *scenario.Fault) { f.Zone = g.zone }},
	{"slow_link", func(g *generator, f *scenario.Fault) {
		f.Zone = g.zone
		f.Extra = g.drawDuration(20, 600)
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
		f.Part = g.drawFraction(0.5)
		f.Size = g.uniform(2, 20)
	}},
	{"pilot_kill", func(g *generator, f *scenario.Fault) { f.Count = g.drawPilotCount() }},
	{"pilot_pause", func(g *generator, f *scenario.Fault) { f.Count = g.drawPilotCount() }},
	{"pilot_roll", func(g *generator, f *scenario.Fault) { f.Extra = g.drawDuration(100, 2000) }},
	{"list_down", func(*generator, *scenario.Fault) {}},
	{"burst", func(g *generator, f *scenario.Fault) { f.Size = g.uniform(1.1, 2) }},
	{"hot_caller", fractionDrawer(0.3)},
	{"heavy_tail", func(g *generator, f *scenario.Fault) {
		f.Part = g.drawFraction(0.1)
		f.Size = g.uniform(2, 20)
	}},
	{"pause", fractionDrawer(0.4)},
}

// drawPart returns what draws a part of at most so much.
func fractionDrawer(most float64) func(*generator, *scenario.Fault) {
	return func(g *generator, f *scenario.Fault) { f.Part = g.drawFraction(most) }
}

// faults draws one fault, or several that strike the same at once.
func (g *generator) drawFaults() []scenario.Fault {
	fault := scenario.Fault{At: g.drawDuration(4000, 30000)}
	fault.For = g.drawDuration(300, 9000)
	g.zone = zones[g.random.IntN(len(zones))]
	kind := g.random.IntN(len(faultKinds) + composedFaultWeight)
	if kind >= len(faultKinds) {
		return g.drawComposedFaults(fault)
	}
	fault.What = faultKinds[kind].name
	faultKinds[kind].draw(g, &fault)
	return []scenario.Fault{fault}
}

// composedFaults makes a fault that is on no list out of others: what stops for those who are struck, what is late or
// wrong meanwhile, and how they return.
func (g *generator) drawComposedFaults(frame scenario.Fault) []scenario.Fault {
	struck := g.drawTargetPattern()
	var all []scenario.Fault
	all = append(all, g.drawOutage(frame, struck)...)
	all = append(all, g.drawInformationLoss(frame)...)
	return append(all, g.drawReturn(frame, struck)...)
}

// struckTogether draws a pattern of endpoints' names: one endpoint, or some that a rack might hold.
func (g *generator) drawTargetPattern() string {
	zone := zones[g.random.IntN(len(zones))]
	name := fmt.Sprintf("%s-std-%d", zone, g.random.IntN(firstTargetCandidates))
	switch g.random.IntN(3) {
	case 0:
		return name + "*" // of one zone
	case 1:
		return "*" + name[1:] // of all zones
	}
	return name
}

// stoppage draws what stops for those who are struck.
func (g *generator) drawOutage(frame scenario.Fault, struck string) []scenario.Fault {
	names := []string{"hang", "pause", "fast_errors", "handshake_slow"}
	name := names[g.random.IntN(len(names))]
	lasts := 0.2 + 0.8*g.random.Float64()
	fault := derivedFault(frame, name, struck, 0, lasts)
	switch name {
	case "fast_errors":
		fault.Size = g.random.Float64()
	case "handshake_slow":
		fault.Size = 50 * g.random.Float64()
		fault.Extra = milliseconds(300 * g.random.Float64())
	}
	return g.keepIfBeforeEnd(fault)
}

// misinformation draws what the pilots do not learn meanwhile, if anything.
func (g *generator) drawInformationLoss(frame scenario.Fault) []scenario.Fault {
	fault := frame
	switch g.random.IntN(5) {
	case 0:
		fault.What = "list_down"
	case 1:
		fault.What = "pilot_pause"
		fault.Count = 1
	case 2:
		fault.What = "counter_down"
		fault.Part = g.random.Float64()
	default:
		return nil
	}
	return []scenario.Fault{fault}
}

// comeback draws how those who were struck return, if not by themselves.
func (g *generator) drawReturn(frame scenario.Fault, struck string) []scenario.Fault {
	switch g.random.IntN(4) {
	case 0:
		after := 0.5 + g.random.Float64()
		return g.keepIfBeforeEnd(derivedFault(frame, "restart", struck, after, 0))
	case 1:
		after := 0.5 + g.random.Float64()
		lasts := g.random.Float64()
		return g.keepIfBeforeEnd(derivedFault(frame, "crash", struck, after, lasts))
	case 2:
		after := g.random.Float64()
		return g.keepIfBeforeEnd(derivedFault(frame, "drain", struck, after, 0.5))
	}
	return nil
}

// within returns a fault that begins and lasts for so many times the length of another.
func derivedFault(frame scenario.Fault, name, struck string, after, lasts float64) scenario.Fault {
	fault := frame
	fault.What = name
	fault.Who = []string{struck}
	fault.At = frame.At + time.Duration(after*float64(frame.For))
	fault.For = time.Duration(lasts * float64(frame.For))
	return fault
}

// beforeEnd leaves out a fault that would begin after the scenario's end.
func (g *generator) keepIfBeforeEnd(fault scenario.Fault) []scenario.Fault {
	if fault.At >= g.draft.Length {
		return nil
	}
	return []scenario.Fault{fault}
}
