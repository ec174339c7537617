// Package audit judges a rehearsal by what crossed the sockets: it reads the trails of the stand-ins and the terms,
// nothing of the pilot, and gives a verdict on each of the five rules with its evidence, and the service.
package audit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// Rule is one of the five.
type Rule int

// The rules.
const (
	NobodyBare Rule = iota
	NoEffectTwice
	DrainsKept
	ColdKept
	ShortQueue
	ruleCount
)

// String names a rule.
func (r Rule) String() string {
	return [...]string{"no proxy without a line", "no effect twice", "drains kept", "no cold endpoint pushed over",
		"a short channel queue"}[r]
}

// Violation is one piece of evidence.
type Violation struct {
	At   float64 // ms
	Who  string
	Text string
}

// Verdict is on one rule. Part is how near to the limit the worst moment came; above 1 the rule is broken. Checked
// counts what was looked at, so that a rule kept for want of cases shows.
type Verdict struct {
	Rule       Rule
	Part       float64
	Worst      string
	Checked    int
	Violations []Violation
}

// Kept returns whether the rule held.
func (v *Verdict) Kept() bool { return len(v.Violations) == 0 }

const mostBreaches = 20

func (v *Verdict) look(part float64, at float64, who, format string, args ...any) {
	v.Checked++
	if part <= v.Part && part <= 1 {
		return
	}
	text := fmt.Sprintf(format, args...)
	if part > v.Part {
		v.Part, v.Worst = part, fmt.Sprintf("%.1fs %s %s", at/1000, who, text)
	}
	if part > 1 && len(v.Violations) < mostBreaches {
		v.Violations = append(v.Violations, Violation{at, who, text})
	}
}

// Report is the whole judgement.
type Report struct {
	Verdicts [ruleCount]Verdict
	Service  Service
}

// Kept returns whether all rules held.
func (r *Report) Kept() bool {
	for i := range r.Verdicts {
		if !r.Verdicts[i].Kept() {
			return false
		}
	}
	return true
}

// proxyState is what the trails show of a proxy.
type proxyState struct {
	name        string
	zone, pilot string
	empty       bool // some kind has no line
	joined      float64
	lines       map[string]int
	bare        map[string]float64 // since when, by kind
	orderAt     float64            // when its last message was ordered
	messages    []float64
}

// toldState is what a pilot was told of an endpoint.
type toldState struct {
	phase         int
	since         float64 // of this phase
	before        int     // phase and time before a whole list that has yet to name it again
	beforeSince   float64
	started       float64 // -Inf: the distant past
	startTold     float64
	zone, machine string
}

// endpointState is what the trails show of an endpoint's process.
type endpointState struct {
	started  float64
	cold     bool
	capacity float64
	arrivals []arrival
}

type arrival struct {
	at, work float64
	informed bool
}

type pilotState struct {
	zone  string
	life  int
	told  map[string]*toldState
	waits map[int][]wait // by life: messages and when they lay in the channel
}

type wait struct {
	from, to float64
	lines    int
}

// Auditor walks through the trails once, by time.
type Auditor struct {
	terms     *config.Common
	names     map[string]string // endpoints' trail names by address
	addresses map[string][]string
	service   *server
	order     []*proxyState // by name
	proxies   map[string]*proxyState
	pilots    map[string]*pilotState
	endpoints map[string]*endpointState
	effects   map[string]map[uint64]int
	cutZones  map[string]bool
	dumb      map[string]bool
	report    *Report
	tick      float64
}

// grid is how often standing conditions are looked at, in ms.
const grid = 50.0

// Check gives the verdicts. Addresses maps an endpoint's address to its name in the trails.
func Check(events []eventlog.Event, t *config.Common, addresses map[string]string) *Report {
	a := New(t)
	for address, name := range addresses {
		a.Place(address, name)
	}
	for _, e := range events {
		a.Add(e)
	}
	return a.Report()
}

// New returns an auditor that has seen nothing.
func New(t *config.Common) *Auditor {
	a := &Auditor{terms: t, names: map[string]string{}, addresses: map[string][]string{}, service: newServer(t), proxies: map[string]*proxyState{}, pilots: map[string]*pilotState{},
		endpoints: map[string]*endpointState{}, effects: map[string]map[uint64]int{}, cutZones: map[string]bool{},
		dumb: map[string]bool{}, report: &Report{}}
	for i := range a.report.Verdicts {
		a.report.Verdicts[i].Rule = Rule(i)
	}
	return a
}

// Place tells an endpoint's address and its name in the trails.
func (a *Auditor) Place(address, name string) {
	a.names[address] = name
	a.addresses[name] = append(a.addresses[name], address)
}

// Add takes in the next event.
func (a *Auditor) Add(e eventlog.Event) {
	for a.tick+grid <= e.At {
		a.tick += grid
		a.lookBare()
	}
	a.service.take(e)
	a.take(e)
}

// Report ends the audit.
func (a *Auditor) Report() *Report {
	a.lookChannels()
	a.report.Service = a.service.Service
	return a.report
}

func (a *Auditor) proxy(name string) *proxyState {
	if a.proxies[name] == nil {
		a.proxies[name] = &proxyState{name: name, lines: map[string]int{}, bare: map[string]float64{}}
		a.order = append(a.order, a.proxies[name])
		slices.SortFunc(a.order, func(x, y *proxyState) int { return strings.Compare(x.name, y.name) })
	}
	return a.proxies[name]
}

func (a *Auditor) pilot(name string) *pilotState {
	if a.pilots[name] == nil {
		a.pilots[name] = &pilotState{told: map[string]*toldState{}, waits: map[int][]wait{}}
	}
	return a.pilots[name]
}

// take folds one event into the state and checks what it bears on.
func (a *Auditor) take(e eventlog.Event) {
	switch e.What {
	case eventlog.Start:
		a.start(e)
	case eventlog.Stop:
		if p := a.proxies[e.Who]; p != nil {
			p.pilot = ""
		}
	case eventlog.Join:
		p := a.proxy(e.Who)
		p.zone, p.pilot, p.joined, p.messages = e.Kind, e.Peer, e.At, nil
		clear(p.bare)
		p.orderAt = math.Inf(-1)
	case eventlog.Leave:
		a.proxy(e.Who).pilot = ""
	case eventlog.Lines:
		a.proxy(e.Who).setLines(e, a.terms.Kinds)
	case eventlog.Got:
		a.message(e)
	case eventlog.Send:
		a.send(e)
	case eventlog.Arrive:
		a.arrive(e)
	case eventlog.Effect:
		a.effect(e)
	case eventlog.Told:
		a.told(e)
	case eventlog.Cut, eventlog.Mended:
		if e.Text != "" {
			a.cutZones[e.Text] = e.What == eventlog.Cut
		} else {
			a.dumb[e.Peer] = e.What == eventlog.Cut
		}
	}
}

func (a *Auditor) start(e eventlog.Event) {
	switch {
	case e.Kind == "cold" || e.Kind == "warm": // an endpoint's; its address may once have been another's
		a.endpoints[e.Who] = &endpointState{started: e.At, cold: e.Kind == "cold", capacity: e.Value}
	case e.Kind == "pilot":
		p := a.pilot(e.Who)
		p.zone, p.life = e.Text, p.life+1
		clear(p.told)
	default:
		a.proxy(e.Who).zone = e.Text
		a.proxy(e.Who).pilot = ""
	}
}

// joined returns a proxy's pilot while the stream between them carries. One that a cut holds up counts as left from
// the cut on, as the pilot can do nothing there.
func (a *Auditor) joined(name string, p *proxyState) *pilotState {
	if p.pilot == "" || a.dumb[name] || a.dumb[p.pilot] {
		return nil
	}
	pilot := a.pilot(p.pilot)
	if p.zone != pilot.zone && (a.cutZones[p.zone] || a.cutZones[pilot.zone]) {
		return nil
	}
	return pilot
}

func (a *Auditor) message(e eventlog.Event) {
	p, pilot := a.proxy(e.Who), a.pilot(e.Peer)
	p.orderAt = e.At - e.Value
	p.messages = append(p.messages, e.At)
	pilot.waits[pilot.life] = append(pilot.waits[pilot.life], wait{e.Since, e.Since + e.Value, e.N})
	if most := a.terms.MessagesMost; most > 0 {
		span := float64(a.terms.MessagesOver.Milliseconds())
		for p.messages[0] < e.At-span {
			p.messages = p.messages[1:]
		}
		n := len(p.messages)
		a.report.Verdicts[ShortQueue].look(float64(n)/float64(most), e.At, e.Who, "%d messages of %s, %d allowed", n,
			e.Peer, most)
	}
}

// setLines notes how many lines a kind has.
func (p *proxyState) setLines(e eventlog.Event, kinds []config.RequestClass) {
	p.lines[e.Kind] = e.N
	p.empty = false
	for _, k := range kinds {
		if p.lines[k.Name] == 0 {
			p.empty = true
		} else {
			delete(p.bare, k.Name)
		}
	}
}

// lookBare checks rule 1 for every joined proxy.
func (a *Auditor) lookBare() {
	v := &a.report.Verdicts[NobodyBare]
	limit := float64(a.terms.BareFor.Milliseconds())
	for _, p := range a.order {
		if !p.empty {
			v.Checked += len(a.terms.Kinds)
			continue
		}
		name := p.name
		pilot := a.joined(name, p)
		for _, k := range a.terms.Kinds {
			if pilot == nil || p.lines[k.Name] > 0 || !a.anyWarm(pilot, p.zone, k) {
				delete(p.bare, k.Name)
				v.Checked++
				continue
			}
			if _, was := p.bare[k.Name]; !was {
				p.bare[k.Name] = a.tick
			}
			lasts := a.tick - p.bare[k.Name]
			v.look(lasts/limit, a.tick, name, "no line for %s for %.0f ms of %.0f", k.Name, lasts, limit)
		}
	}
}

// anyWarm returns whether a pilot's list shows a ready, warm endpoint open to a kind.
func (a *Auditor) anyWarm(p *pilotState, zone string, k config.RequestClass) bool {
	for _, t := range p.told {
		if t.phase == wire.PhaseReady && a.tick-t.started >= float64(a.terms.Cold.Milliseconds()) &&
			(len(k.OnlyMachines) == 0 || slices.Contains(k.OnlyMachines, t.machine)) &&
			(len(k.OnlyZones) == 0 || slices.Contains(k.OnlyZones, t.zone)) && (!k.OwnZone || t.zone == zone) {
			return true
		}
	}
	return false
}

func (a *Auditor) effect(e eventlog.Event) {
	for _, k := range a.terms.Kinds {
		if k.Name != e.Kind || k.Repeats == "replayable" {
			continue
		}
		if a.effects[k.Name] == nil {
			a.effects[k.Name] = map[uint64]int{}
		}
		a.effects[k.Name][e.Req]++
		n := a.effects[k.Name][e.Req]
		a.report.Verdicts[NoEffectTwice].look(float64(n-1)*2, e.At, e.Who, "%s %d took effect %d times", k.Name, e.Req, n)
	}
}

// send checks rule 3.
func (a *Auditor) send(e eventlog.Event) {
	v, p := &a.report.Verdicts[DrainsKept], a.proxy(e.Who)
	v.Checked++
	pilot := a.joined(e.Who, p)
	if pilot == nil {
		return
	}
	t := pilot.told[e.Peer]
	if t == nil || t.phase == wire.PhaseReady {
		return
	}
	late, grace := e.At-math.Max(t.since, p.joined), float64(a.terms.DrainGrace.Milliseconds())
	v.look(late/grace, e.At, e.Who, "sent to %s %.0f ms after %s was told, %.0f allowed", a.names[e.Peer], late, p.pilot,
		grace)
}

// slack is how many reqs of the size at hand chance may bring together beyond a cold endpoint's budget.
const slack = 4

// arrive checks rule 4: the work sent within the span to an endpoint that is cold.
func (a *Auditor) arrive(e eventlog.Event) {
	ep := a.endpoints[e.Who]
	age, cold := e.At-ep.started, float64(a.terms.Cold.Milliseconds())
	if !ep.cold || age > cold {
		return
	}
	span := float64(a.terms.Fall.Milliseconds())
	ep.arrivals = append(ep.arrivals, arrival{e.At, e.Value, a.informed(e, ep)})
	for ep.arrivals[0].at < e.At-span {
		ep.arrivals = ep.arrivals[1:]
	}
	sum, known := 0.0, 0.0
	for _, x := range ep.arrivals {
		sum += x.work
		if x.informed {
			known += x.work
		}
	}
	warmth := math.Min(1, a.terms.ColdFrom+(1-a.terms.ColdFrom)*age/cold)
	budget := a.terms.FallMultiple*ep.capacity*warmth*span + slack*e.Value
	part := sum / budget
	if known < sum*2/3 {
		part = math.Min(part, 1) // the pilots could not have helped it
	}
	a.report.Verdicts[ColdKept].look(part, e.At, e.Who, "%.0f ms of work in %.0f ms, %.0f of it informed, %.0f bearable",
		sum, span, known, budget)
}

// informed returns whether a proxy's pilot had the time to know of an endpoint's start.
func (a *Auditor) informed(e eventlog.Event, ep *endpointState) bool {
	p := a.proxies[e.Peer]
	if p == nil || p.pilot == "" {
		return false
	}
	for _, address := range a.addresses[e.Who] {
		t := a.pilot(p.pilot).told[address]
		if t != nil && a.names[address] == e.Who && math.Abs(t.started-ep.started) < 1000 {
			return p.orderAt >= t.startTold || e.At >= t.startTold+float64(a.terms.DrainGrace.Milliseconds())
		}
	}
	return false
}

func (a *Auditor) told(e eventlog.Event) {
	pilot := a.pilot(e.Peer)
	if e.N < 0 { // a whole list begins: what it does not name again is gone
		for _, t := range pilot.told {
			if t.phase != wire.PhaseGone {
				t.before, t.beforeSince = t.phase, t.since
				t.phase, t.since = wire.PhaseGone, e.At
			}
		}
		return
	}
	t := pilot.told[e.Text]
	if t == nil {
		t = &toldState{phase: e.N, since: e.At, started: math.Inf(-1), startTold: e.At}
		pilot.told[e.Text] = t
	}
	if t.phase != e.N {
		since := e.At
		if t.before == e.N && e.At-t.since < grid {
			since = t.beforeSince // the whole list changed nothing of it
		}
		t.phase, t.since = e.N, since
	}
	started := math.Inf(-1)
	if e.Value >= 0 {
		started = e.At - e.Value
	}
	if math.IsInf(started, -1) != math.IsInf(t.started, -1) || math.Abs(started-t.started) > 500 {
		t.started, t.startTold = started, e.At
	}
	for i := range e.Kind {
		if e.Kind[i] == '/' {
			t.zone, t.machine = e.Kind[:i], e.Kind[i+1:]
		}
	}
}

// lookChannels checks rule 5 from when messages lay in each pilot's channel.
func (a *Auditor) lookChannels() {
	v := &a.report.Verdicts[ShortQueue]
	for _, name := range slices.Sorted(maps.Keys(a.pilots)) {
		for _, waits := range a.pilots[name].waits {
			type step struct {
				at    float64
				lines int
			}
			var steps []step
			for _, w := range waits {
				steps = append(steps, step{w.from, w.lines}, step{w.to, -w.lines})
			}
			slices.SortFunc(steps, func(x, y step) int {
				if x.at != y.at {
					return map[bool]int{true: -1, false: 1}[x.at < y.at]
				}
				return x.lines - y.lines // what leaves goes first
			})
			lines := 0
			for _, s := range steps {
				lines += s.lines
				v.look(float64(lines)/a.terms.Backlog, s.at, name, "%d lines wait, %.0f allowed", lines, a.terms.Backlog)
			}
		}
	}
}
