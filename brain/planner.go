package brain

// This file is the frame of the planner: events in, control rounds, commands out. The planner is a sub-controller of
// the ACCO algorithm ("A Distributed Hybrid Load Management Model for Anycast CDNs", section IV-A). Its regions are
// the zones of the proxies that joined it. Once in a round each endpoint steps its penalty (penalty.go) and each
// region solves for its shares anew (region.go); the publisher sends the proxies what changed (publisher.go).
// docs/design.md says what was changed of the algorithm, and why.

import (
	"fmt"
	"math"
)

type Brain struct {
	mailbox               mailbox[plannerMessage]
	settings              Settings
	rounds, subsetsOfZone int // parts: tables that a zone's proxies are dealt to, for each group
	now, targetLoad       float64
	load                  fleetLoad
	started               bool
	endpoints             []*endpoint
	regions               []*region
	actors                []actor
	publisher             *publisher
	groups                []classGroup
	classes               []RequestClass // of the settings at the start
	shedOrder             []int          // the classes, by the order in which their load is shed
	proxies               map[int]Joined
	demand                demand
	commands              []Order
}

func New(seed int64, terms map[string]any) *Brain {
	parsed, _ := ParseSettings(terms) // New may not fail: what is wrong has its default
	b := &Brain{settings: parsed, classes: parsed.Classes, proxies: map[int]Joined{}, demand: newDemand()}
	// T, the load at which a penalty starts to grow: the less crossing zones costs, the sooner it pays.
	b.shedOrder = shedOrder(b.classes)
	b.targetLoad = math.Min(0.85, 0.5+2*b.settings.CrossZoneCost)
	if !b.settings.Sliced { // sites with slices are not planned: stored owners stay
		b.groups = groupClasses(b.classes)
	}
	b.subsetsOfZone = subsetsOfZone(parsed, len(b.groups))
	b.publisher = newPublisher(b)
	b.mailbox.receive = b.receive
	b.actors = []actor{&b.mailbox, &b.publisher.mailbox}
	return b
}

// Reconfigure takes over changed settings. What New derived from the earlier ones stays.
func (b *Brain) Reconfigure(settings map[string]any) {
	b.settings, _ = ParseSettings(settings) // as New does
}

func (b *Brain) logf(format string, args ...any) { b.command(Log{fmt.Sprintf(format, args...)}) }

func (b *Brain) command(o Order) { b.commands = append(b.commands, o) }

func (b *Brain) Handle(nowMs float64, notes []Note) []Order {
	b.now, b.commands = math.Max(b.now, nowMs), nil
	if !b.started { // each pilot gathers at its own point of the window
		b.started = true
		b.command(WakeAt{b.now + roundMs*(1+b.settings.Rank/b.settings.Instances)/2, "gather"})
		if b.settings.DiscoveryOnRequest {
			b.command(Watch{On: true})
		}
	}
	for _, n := range notes {
		b.dispatch(n)
	}
	b.deliverAll()
	b.publisher.flush()
	return b.commands
}

func (b *Brain) dispatch(n Note) {
	switch n := n.(type) {
	case Listing:
		b.updateList(n)
	case Alarm:
		if n.Name == "gather" {
			b.rounds++
			b.command(WakeAt{b.now + roundMs, "gather"})
			b.controlRound(true)
		}
	case Probed:
		b.endpoint(n.Endpoint).mailbox.enqueue(n)
	case Met: // counts that began before the endpoint started again tell of the process that is gone
		if at := b.endpoint(n.Endpoint).Started; at != 0 && at > b.now-n.SpanMs {
			n.Tries, n.Failed = 0, 0
		}
		b.endpoint(n.Endpoint).mailbox.enqueue(n)
		b.region(n.Zone).mailbox.enqueue(n)
	case Joined:
		b.mailbox.enqueue(n)
		b.publisher.mailbox.enqueue(n)
	case Left:
		b.mailbox.enqueue(n)
		b.publisher.mailbox.enqueue(n)
	case Demand:
		b.mailbox.enqueue(n)
	case Applied:
		b.publisher.mailbox.enqueue(n)
	case Stalled:
		b.publisher.mailbox.enqueue(n)
	}
}

func (b *Brain) updateList(l Listing) {
	if l.Mode == ListFailed {
		b.command(Watch{On: true})
		return
	}
	named := map[int]bool{}
	for _, e := range l.Entries {
		named[e.Endpoint] = true
		b.region(e.Zone)
		b.endpoint(e.Endpoint).mailbox.enqueue(e)
	}
	for i, be := range b.endpoints {
		if gone := be.Entry; l.Mode != Changes && be.listed && !named[i] {
			gone.Phase = Gone
			be.mailbox.enqueue(gone)
		}
	}
	b.controlRound(false)
}

func (b *Brain) controlRound(step bool) {
	b.deliverAll()
	b.demand.update(b.proxies, b.settings.ProxyCount.Or(1))
	b.load.update(b.endpoints, b.targetLoad, b.now)
	for _, be := range b.endpoints {
		be.mailbox.enqueue(roundStart{step})
	}
	b.deliverAll()
	for _, r := range b.regions {
		r.mailbox.enqueue(roundStart{step})
	}
}

func (b *Brain) receive(note plannerMessage) {
	switch n := note.(type) {
	case Joined:
		b.proxies[n.Proxy] = n
		b.region(n.Zone)
	case Left:
		delete(b.proxies, n.Proxy)
	case Demand:
		if p, ours := b.proxies[n.Proxy]; ours {
			b.demand.observe(n, p, len(b.classes))
		}
	}
}

func (b *Brain) endpoint(i int) *endpoint {
	for len(b.endpoints) <= i {
		e := newEndpoint(b, len(b.endpoints))
		b.endpoints, b.actors = append(b.endpoints, e), append(b.actors, &e.mailbox)
	}
	return b.endpoints[i]
}

func (b *Brain) region(zone int) *region {
	for len(b.regions) <= zone {
		r := newRegion(b, len(b.regions))
		b.regions, b.actors = append(b.regions, r), append(b.actors, &r.mailbox)
		b.publisher.addTables(len(b.groups) * b.subsetsOfZone)
	}
	return b.regions[zone]
}

func (b *Brain) demandSeen() float64 {
	part := math.Min(1, float64(len(b.proxies))/b.settings.ProxyCount.Or(1))
	return pick(b.settings.ZonesKeptWhole, 1, part)
}
