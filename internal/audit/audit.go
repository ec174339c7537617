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
	EndpointCoverage Rule = iota
	SingleEffect
	DrainDeadline
	SlowStartBudget
	ChannelQueue
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
	Rule          Rule
	LimitFraction float64
	Worst         string
	Checked       int
	Violations    []Violation
}

// Kept returns whether the rule held.
func (v *Verdict) Kept() bool { return len(v.Violations) == 0 }

const maxViolations = 20

func (v *Verdict) observe(part float64, at float64, who, format string, args ...any) {
	v.Checked++
	if part <= v.LimitFraction && part <= 1 {
		return
	}
	text := fmt.Sprintf(format, args...)
	if part > v.LimitFraction {
		v.LimitFraction, v.Worst = part, fmt.Sprintf("%.1fs %s %s", at/1000, who, text)
	}
	if part > 1 && len(v.Violations) < maxViolations {
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
	name           string
	zone, pilot    string
	uncovered      bool // some kind has no line
	joinedAt       float64
	lineCounts     map[string]int
	uncoveredSince map[string]float64 // since when, by kind
	lastCommandAt  float64            // when its last message was ordered
	messageTimes   []float64
}

// listedEndpoint is what a pilot was told of an endpoint.
type listedEndpoint struct {
	phase         int
	phaseSince    float64 // of this phase
	earlierPhase  int     // phase and time before a whole list that has yet to name it again
	earlierSince  float64
	startedAt     float64 // -Inf: the distant past
	startListedAt float64
	zone, machine string
}

// endpointState is what the trails show of an endpoint's process.
type endpointState struct {
	startedAt float64
	slowStart bool
	capacity  float64
	arrivals  []arrival
}

type arrival struct {
	at, work float64
	informed bool
}

type pilotState struct {
	zone   string
	life   int
	listed map[string]*listedEndpoint
	queued map[int][]queuedMessage // by life: messages and when they lay in the channel
}

type queuedMessage struct {
	from, to float64
	lines    int
}

// Auditor walks through the trails once, by time.
type Auditor struct {
	settings        *config.Common
	nameByAddress   map[string]string // endpoints' trail names by address
	addressesByName map[string][]string
	service         *serviceMeter
	sortedProxies   []*proxyState // by name
	proxies         map[string]*proxyState
	pilots          map[string]*pilotState
	endpoints       map[string]*endpointState
	effectCounts    map[string]map[uint64]int
	cutZones        map[string]bool
	blackholed      map[string]bool
	report          *Report
	checkedAt       float64
}

// checkIntervalMs is how often standing conditions are looked at, in ms.
const checkIntervalMs = 50.0

// Check gives the verdicts. Addresses maps an endpoint's address to its name in the trails.
func Check(events []eventlog.Event, t *config.Common, addresses map[string]string) *Report {
	a := New(t)
	for address, name := range addresses {
		a.AddAddress(address, name)
	}
	for _, e := range events {
		a.Add(e)
	}
	return a.Report()
}

// New returns an auditor that has seen nothing.
func New(t *config.Common) *Auditor {
	a := &Auditor{settings: t, nameByAddress: map[string]string{}, addressesByName: map[string][]string{}, service: newServiceMeter(t), proxies: map[string]*proxyState{}, pilots: map[string]*pilotState{},
		endpoints: map[string]*endpointState{}, effectCounts: map[string]map[uint64]int{}, cutZones: map[string]bool{},
		blackholed: map[string]bool{}, report: &Report{}}
	for i := range a.report.Verdicts {
		a.report.Verdicts[i].Rule = Rule(i)
	}
	return a
}

// AddAddress tells an endpoint's address and its name in the trails.
func (a *Auditor) AddAddress(address, name string) {
	a.nameByAddress[address] = name
	a.addressesByName[name] = append(a.addressesByName[name], address)
}

// Add takes in the next event.
func (a *Auditor) Add(e eventlog.Event) {
	for a.checkedAt+checkIntervalMs <= e.At {
		a.checkedAt += checkIntervalMs
		a.checkCoverage()
	}
	a.service.record(e)
	a.apply(e)
}

// Report ends the audit.
func (a *Auditor) Report() *Report {
	a.checkQueues()
	a.report.Service = a.service.Service
	return a.report
}

func (a *Auditor) proxy(name string) *proxyState {
	if a.proxies[name] == nil {
		a.proxies[name] = &proxyState{name: name, lineCounts: map[string]int{}, uncoveredSince: map[string]float64{}}
		a.sortedProxies = append(a.sortedProxies, a.proxies[name])
		slices.SortFunc(a.sortedProxies, func(x, y *proxyState) int { return strings.Compare(x.name, y.name) })
	}
	return a.proxies[name]
}

func (a *Auditor) pilot(name string) *pilotState {
	if a.pilots[name] == nil {
		a.pilots[name] = &pilotState{listed: map[string]*listedEndpoint{}, queued: map[int][]queuedMessage{}}
	}
	return a.pilots[name]
}

// apply folds one event into the state and checks what it bears on.
func (a *Auditor) apply(e eventlog.Event) {
	switch e.What {
	case eventlog.Start:
		a.recordStart(e)
	case eventlog.Stop:
		if p := a.proxies[e.Who]; p != nil {
			p.pilot = ""
		}
	case eventlog.Join:
		p := a.proxy(e.Who)
		p.zone, p.pilot, p.joinedAt, p.messageTimes = e.Kind, e.Peer, e.At, nil
		clear(p.uncoveredSince)
		p.lastCommandAt = math.Inf(-1)
	case eventlog.Leave:
		a.proxy(e.Who).pilot = ""
	case eventlog.Lines:
		a.proxy(e.Who).recordLines(e, a.settings.Kinds)
	case eventlog.Got:
		a.recordMessage(e)
	case eventlog.Send:
		a.checkDrain(e)
	case eventlog.Arrive:
		a.checkSlowStart(e)
	case eventlog.Effect:
		a.checkEffect(e)
	case eventlog.Told:
		a.recordListed(e)
	case eventlog.Cut, eventlog.Mended:
		if e.Text != "" {
			a.cutZones[e.Text] = e.What == eventlog.Cut
		} else {
			a.blackholed[e.Peer] = e.What == eventlog.Cut
		}
	}
}

func (a *Auditor) recordStart(e eventlog.Event) {
	switch {
	case e.Kind == "cold" || e.Kind == "warm": // an endpoint's; its address may once have been another's
		a.endpoints[e.Who] = &endpointState{startedAt: e.At, slowStart: e.Kind == "cold", capacity: e.Value}
	case e.Kind == "pilot":
		p := a.pilot(e.Who)
		p.zone, p.life = e.Text, p.life+1
		clear(p.listed)
	default:
		a.proxy(e.Who).zone = e.Text
		a.proxy(e.Who).pilot = ""
	}
}

// connectedPilot returns a proxy's pilot while the stream between them carries. One that a cut holds up counts as left from
// the cut on, as the pilot can do nothing there.
func (a *Auditor) connectedPilot(name string, p *proxyState) *pilotState {
	if p.pilot == "" || a.blackholed[name] || a.blackholed[p.pilot] {
		return nil
	}
	pilot := a.pilot(p.pilot)
	if p.zone != pilot.zone && (a.cutZones[p.zone] || a.cutZones[pilot.zone]) {
		return nil
	}
	return pilot
}

func (a *Auditor) recordMessage(e eventlog.Event) {
	p, pilot := a.proxy(e.Who), a.pilot(e.Peer)
	p.lastCommandAt = e.At - e.Value
	p.messageTimes = append(p.messageTimes, e.At)
	pilot.queued[pilot.life] = append(pilot.queued[pilot.life], queuedMessage{e.Since, e.Since + e.Value, e.N})
	if most := a.settings.MessagesMost; most > 0 {
		span := float64(a.settings.MessagesOver.Milliseconds())
		for p.messageTimes[0] < e.At-span {
			p.messageTimes = p.messageTimes[1:]
		}
		n := len(p.messageTimes)
		a.report.Verdicts[ChannelQueue].observe(float64(n)/float64(most), e.At, e.Who, "%d messages of %s, %d allowed", n,
			e.Peer, most)
	}
}

// recordLines notes how many lines a kind has.
func (p *proxyState) recordLines(e eventlog.Event, kinds []config.RequestClass) {
	p.lineCounts[e.Kind] = e.N
	p.uncovered = false
	for _, k := range kinds {
		if p.lineCounts[k.Name] == 0 {
			p.uncovered = true
		} else {
			delete(p.uncoveredSince, k.Name)
		}
	}
}

// checkCoverage checks rule 1 for every joined proxy.
func (a *Auditor) checkCoverage() {
	v := &a.report.Verdicts[EndpointCoverage]
	limit := float64(a.settings.BareFor.Milliseconds())
	for _, p := range a.sortedProxies {
		if !p.uncovered {
			v.Checked += len(a.settings.Kinds)
			continue
		}
		name := p.name
		pilot := a.connectedPilot(name, p)
		for _, k := range a.settings.Kinds {
			if pilot == nil || p.lineCounts[k.Name] > 0 || !a.hasWarmEndpoint(pilot, p.zone, k) {
				delete(p.uncoveredSince, k.Name)
				v.Checked++
				continue
			}
			if _, was := p.uncoveredSince[k.Name]; !was {
				p.uncoveredSince[k.Name] = a.checkedAt
			}
			lasts := a.checkedAt - p.uncoveredSince[k.Name]
			v.observe(lasts/limit, a.checkedAt, name, "no line for %s for %.0f ms of %.0f", k.Name, lasts, limit)
		}
	}
}

// hasWarmEndpoint returns whether a pilot's list shows a ready, warm endpoint open to a kind.
func (a *Auditor) hasWarmEndpoint(p *pilotState, zone string, k config.RequestClass) bool {
	for _, t := range p.listed {
		if t.phase == wire.PhaseReady && a.checkedAt-t.startedAt >= float64(a.settings.Cold.Milliseconds()) &&
			(len(k.OnlyMachines) == 0 || slices.Contains(k.OnlyMachines, t.machine)) &&
			(len(k.OnlyZones) == 0 || slices.Contains(k.OnlyZones, t.zone)) && (!k.OwnZone || t.zone == zone) {
			return true
		}
	}
	return false
}

func (a *Auditor) checkEffect(e eventlog.Event) {
	for _, k := range a.settings.Kinds {
		if k.Name != e.Kind || k.Repeats == "replayable" {
			continue
		}
		if a.effectCounts[k.Name] == nil {
			a.effectCounts[k.Name] = map[uint64]int{}
		}
		a.effectCounts[k.Name][e.Req]++
		n := a.effectCounts[k.Name][e.Req]
		a.report.Verdicts[SingleEffect].observe(float64(n-1)*2, e.At, e.Who, "%s %d took effect %d times", k.Name, e.Req, n)
	}
}

// checkDrain checks rule 3.
func (a *Auditor) checkDrain(e eventlog.Event) {
	v, p := &a.report.Verdicts[DrainDeadline], a.proxy(e.Who)
	v.Checked++
	pilot := a.connectedPilot(e.Who, p)
	if pilot == nil {
		return
	}
	t := pilot.listed[e.Peer]
	if t == nil || t.phase == wire.PhaseReady {
		return
	}
	late, grace := e.At-math.Max(t.phaseSince, p.joinedAt), float64(a.settings.DrainGrace.Milliseconds())
	v.observe(late/grace, e.At, e.Who, "sent to %s %.0f ms after %s was told, %.0f allowed", a.nameByAddress[e.Peer], late, p.pilot,
		grace)
}

// slowStartSlack is how many reqs of the size at hand chance may bring together beyond a cold endpoint's budget.
const slowStartSlack = 4

// checkSlowStart checks rule 4: the work sent within the span to an endpoint that is cold.
func (a *Auditor) checkSlowStart(e eventlog.Event) {
	ep := a.endpoints[e.Who]
	age, cold := e.At-ep.startedAt, float64(a.settings.Cold.Milliseconds())
	if !ep.slowStart || age > cold {
		return
	}
	span := float64(a.settings.Fall.Milliseconds())
	ep.arrivals = append(ep.arrivals, arrival{e.At, e.Value, a.pilotKnewOfStart(e, ep)})
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
	warmth := math.Min(1, a.settings.ColdFrom+(1-a.settings.ColdFrom)*age/cold)
	budget := a.settings.FallMultiple*ep.capacity*warmth*span + slowStartSlack*e.Value
	part := sum / budget
	if known < sum*2/3 {
		part = math.Min(part, 1) // the pilots could not have helped it
	}
	a.report.Verdicts[SlowStartBudget].observe(part, e.At, e.Who, "%.0f ms of work in %.0f ms, %.0f of it informed, %.0f bearable",
		sum, span, known, budget)
}

// pilotKnewOfStart returns whether a proxy's pilot had the time to know of an endpoint's start.
func (a *Auditor) pilotKnewOfStart(e eventlog.Event, ep *endpointState) bool {
	p := a.proxies[e.Peer]
	if p == nil || p.pilot == "" {
		return false
	}
	for _, address := range a.addressesByName[e.Who] {
		t := a.pilot(p.pilot).listed[address]
		if t != nil && a.nameByAddress[address] == e.Who && math.Abs(t.startedAt-ep.startedAt) < 1000 {
			return p.lastCommandAt >= t.startListedAt || e.At >= t.startListedAt+float64(a.settings.DrainGrace.Milliseconds())
		}
	}
	return false
}

func (a *Auditor) recordListed(e eventlog.Event) {
	pilot := a.pilot(e.Peer)
	if e.N < 0 { // a whole list begins: what it does not name again is gone
		for _, t := range pilot.listed {
			if t.phase != wire.PhaseGone {
				t.earlierPhase, t.earlierSince = t.phase, t.phaseSince
				t.phase, t.phaseSince = wire.PhaseGone, e.At
			}
		}
		return
	}
	t := pilot.listed[e.Text]
	if t == nil {
		t = &listedEndpoint{phase: e.N, phaseSince: e.At, startedAt: math.Inf(-1), startListedAt: e.At}
		pilot.listed[e.Text] = t
	}
	if t.phase != e.N {
		since := e.At
		if t.earlierPhase == e.N && e.At-t.phaseSince < checkIntervalMs {
			since = t.earlierSince // the whole list changed nothing of it
		}
		t.phase, t.phaseSince = e.N, since
	}
	started := math.Inf(-1)
	if e.Value >= 0 {
		started = e.At - e.Value
	}
	if math.IsInf(started, -1) != math.IsInf(t.startedAt, -1) || math.Abs(started-t.startedAt) > 500 {
		t.startedAt, t.startListedAt = started, e.At
	}
	for i := range e.Kind {
		if e.Kind[i] == '/' {
			t.zone, t.machine = e.Kind[:i], e.Kind[i+1:]
		}
	}
}

// checkQueues checks rule 5 from when messages lay in each pilot's channel.
func (a *Auditor) checkQueues() {
	v := &a.report.Verdicts[ChannelQueue]
	for _, name := range slices.Sorted(maps.Keys(a.pilots)) {
		for _, waits := range a.pilots[name].queued {
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
				v.observe(float64(lines)/a.settings.Backlog, s.at, name, "%d lines wait, %.0f allowed", lines, a.settings.Backlog)
			}
		}
	}
}
