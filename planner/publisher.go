package planner

// This file decides which differences of the tables go out to the proxies, and when. The publisher keeps what each
// table was last sent, and sends what differs by enough, as far as the channel has room: see flowcontrol.go. It sends
// first what drains or has started anew, then the largest differences; the rest waits for the next round.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// A line is sent if the weights differ by this fraction of the larger: a base, plus up to channelTolerance in
	// proportion to the seconds that the channel takes for all tables of a zone.
	tolerance        = 0.12
	channelTolerance = 0.2

	// worthwhileGap is the least sum of gaps, as a fraction of a table's weight, that justifies headers that take a
	// second of the channel or more; headers that take less are justified by less in proportion.
	worthwhileGap = 0.5

	// backlogDivisor limits lines that can wait to a third of the backlog; the rest is for urgent ones.
	backlogDivisor = 3.0

	// messageSpacing leaves room for half as many further messages to a proxy within its limit.
	messageSpacing = 1.5

	// defaultLinesPerSecond stands in for a pace of the channel that is not configured.
	defaultLinesPerSecond = 1000.0
)

// publisher is an actor: it keeps what the proxies hold and commands what they get next.
type publisher struct {
	mailbox mailbox[publisherMessage]
	planner *Planner

	tables    []*table // by number
	proxies   map[int]*proxyState
	exclusion exclusion
	window    sendWindow
	blocked   blockage

	linesSinceAck map[int]float64 // to each proxy since the last request for an acknowledgement went out
	reopened      bool            // a probe was answered: pending lines need not wait for the next round
	assignmentAt  float64         // ms, when the assignment of tables goes on
}

// table is a routing table of the proxies of a subset, for a class group.
type table struct {
	number          int
	sent            map[int]float64      // weights by endpoint, as last sent
	wanted          map[int]float64      // weights by endpoint, as last planned
	admissionSent   map[int]SetAdmission // by class mask
	admissionWanted map[int]SetAdmission
	planned         bool    // since the last push
	pending         int     // urgent lines that did not fit in the last push
	pushedAt        float64 // ms, when lines or levels of it last went out
}

// newPublisher returns a publisher for a fleet of which nothing is known.
func newPublisher(p *Planner) *publisher {
	pb := &publisher{
		planner: p, proxies: map[int]*proxyState{}, exclusion: newExclusion(),
		linesSinceAck: map[int]float64{},
	}
	pb.mailbox.receive = pb.receive
	return pb
}

// addTables adds empty tables.
func (pb *publisher) addTables(count int) {
	for range count {
		pb.tables = append(pb.tables, &table{
			number: len(pb.tables), sent: map[int]float64{}, wanted: map[int]float64{},
			admissionSent: map[int]SetAdmission{}, admissionWanted: map[int]SetAdmission{},
		})
	}
}

// receive takes in a message to the publisher.
func (pb *publisher) receive(message publisherMessage) {
	switch message := message.(type) {
	case wantedWeight:
		pb.tables[message.table].wanted[message.endpoint] = message.weight
		pb.tables[message.table].planned = true
	case wantedAdmission:
		pb.tables[message.command.Table].admissionWanted[message.command.Classes] = message.command
	case availability:
		pb.exclusion.update(message, pb.planner.now)
	case ProxyJoined:
		pb.join(message)
	case ProxyLeft:
		delete(pb.proxies, message.Proxy)
	case ChannelStalled:
		pb.stalled(message)
	case Ack:
		pb.acknowledged(message)
	}
}

// flush commands all that the channel has room for, at the end of each call of Handle: differences of tables, then
// tables for waiting proxies, then exclusions of endpoints. A request for an acknowledgement follows.
func (pb *publisher) flush() {
	p := pb.planner
	before := pb.window.written
	pb.window.advance(p.now, pb.linesPerSecond()/1000)
	for _, t := range pb.tablesToPush() {
		pb.push(t)
	}
	pb.assignWaiting()
	pb.excludeUnavailable()
	pb.watchBlockage(pb.window.written > before)
	if pb.window.written > before { // by the above, or by a probe
		p.command(AckRequest{Number: pb.window.seal(p.now, pb.linesSinceAck)})
		pb.linesSinceAck = map[int]float64{}
	}
}

// tablesToPush returns the tables that were planned again, and those with pending lines if a probe was acknowledged:
// the one that waited longest first.
func (pb *publisher) tablesToPush() []*table {
	var turns []*table
	for _, t := range pb.tables {
		if t.planned || pb.reopened && t.pending > 0 {
			turns = append(turns, t)
		}
	}
	pb.reopened = false
	slices.SortStableFunc(turns, func(a, b *table) int { return cmp.Compare(a.pushedAt, b.pushedAt) })
	return turns
}

// headerLines returns what a message costs beside the lines it brings, with its request for an acknowledgement.
func (pb *publisher) headerLines() float64 { return pb.planner.settings.HeaderLines + 1 }

// linesPerSecond returns the pace of the channel.
func (pb *publisher) linesPerSecond() float64 {
	return pb.planner.settings.LinesPerSecond.Or(defaultLinesPerSecond)
}

// messageInterval returns how far apart the messages of a proxy are, in ms.
func (pb *publisher) messageInterval() float64 {
	return messageSpacing * pb.planner.settings.MessageWindowMs / pb.planner.settings.MessageLimit
}

// delta is what goes out of a table in one push.
type delta struct {
	table   *table
	users   float64 // proxies that hold the table
	header  float64 // lines that a message costs beside those it brings
	budget  float64 // lines that may go out of what can wait
	written float64 // lines and levels that go out
}

// push sends a table's differences, as far as there is room. A table that no joined proxy uses is not sent.
func (pb *publisher) push(t *table) {
	users, joined := pb.usersOf(t)
	t.pending = 0
	if !joined {
		return
	}
	t.planned = false
	d := &delta{table: t, users: users, header: pb.headerLines()}
	d.budget = pb.lineBudget(d)
	pb.writeLevels(d)
	gaps := pb.gaps(d)
	if d.written == 0 && !pb.isWorthwhile(d, gaps) {
		gaps.lines = nil // their headers would cost more than they gain
	}
	pb.writeLines(d, gaps)
	pb.account(d)
}

// usersOf returns how many proxies hold a table, and whether any proxy of its subset has joined.
func (pb *publisher) usersOf(t *table) (users float64, joined bool) {
	subset := pb.planner.subsetOfTable(t.number)
	for _, proxy := range pb.proxies {
		if pb.planner.subset(proxy.ProxyJoined) != subset {
			continue
		}
		joined = true
		if proxy.assigned {
			users++
		}
	}
	return users, joined
}

// lineBudget returns how many lines that can wait may go out of a table.
func (pb *publisher) lineBudget(d *delta) float64 {
	if d.users > 0 && d.table.pushedAt+pb.messageInterval() > pb.planner.now {
		return 0
	}
	room := pb.planner.settings.BacklogLines/backlogDivisor - pb.window.queued
	return room/math.Max(d.users, 1e-9) - d.header
}

// writeLevels sends the admission levels that differ.
func (pb *publisher) writeLevels(d *delta) {
	t := d.table
	for _, kinds := range slices.Sorted(maps.Keys(t.admissionWanted)) {
		wanted := t.admissionWanted[kinds]
		if d.budget >= 1 && t.admissionSent[kinds] != wanted {
			t.admissionSent[kinds] = wanted
			d.budget--
			d.written++
			pb.planner.command(wanted)
		}
	}
}

// Sizes that sort gaps before all others. Their sum may be infinite, which is harmless.
const (
	unavailableGap = math.MaxFloat64
	restartGap     = math.MaxFloat64 / 2
)

// gap is the difference between a line as planned and as last sent.
type gap struct {
	endpoint int
	size     float64
}

// isUrgent returns whether the line doesn't wait for a budget: its endpoint drains, is gone, or has restarted.
func (g gap) isUrgent() bool { return g.size >= restartGap }

// tableGaps is how a table as planned differs from what was sent.
type tableGaps struct {
	lines []gap   // the largest first
	sum   float64 // of the sizes
	kept  float64 // weight sent of the endpoints that are available
	full  float64 // weight planned
}

// gaps returns the lines of a table that differ by more than the tolerance.
func (pb *publisher) gaps(d *delta) tableGaps {
	t := d.table
	threshold := pb.tolerance(d)
	gaps := tableGaps{}
	for _, endpoint := range slices.Sorted(maps.Keys(t.wanted)) {
		wanted := t.wanted[endpoint]
		sent := t.sent[endpoint]
		if !pb.exclusion.isUnavailable(endpoint) {
			gaps.kept += sent
		}
		gaps.full += wanted
		if size := math.Abs(sent - wanted); size > threshold*math.Max(sent, wanted) {
			g := gap{endpoint, pb.gapSize(endpoint, size, wanted, sent)}
			gaps.lines = append(gaps.lines, g)
			gaps.sum += g.size
		}
	}
	slices.SortStableFunc(gaps.lines, func(a, b gap) int { return cmp.Compare(b.size, a.size) })
	return gaps
}

// tolerance returns the fraction by which a line has to differ to be sent. It grows with the time that the channel
// takes for all tables of the zone.
func (pb *publisher) tolerance(d *delta) float64 {
	lines := d.users * float64(pb.planner.subsetsOfZone*len(d.table.wanted))
	return tolerance + channelTolerance*math.Min(1, lines/pb.linesPerSecond())
}

// gapSize returns the size of a gap, by which lines are sorted. An endpoint that has restarted is overloaded by its old
// weight unless that is cut at once.
func (pb *publisher) gapSize(endpoint int, size, wanted, sent float64) float64 {
	switch {
	case pb.exclusion.isUnavailable(endpoint):
		return unavailableGap
	case pb.planner.isWarmingUp(endpoint) && wanted < sent/2:
		return restartGap
	}
	return size
}

// isWorthwhile returns whether the gaps justify the cost of the headers that go out with them.
func (pb *publisher) isWorthwhile(d *delta, gaps tableGaps) bool {
	headers := d.users * float64(pb.planner.subsetsOfZone) * d.header
	seconds := headers / pb.linesPerSecond()
	return gaps.sum >= worthwhileGap*math.Min(1, seconds)*gaps.full
}

// writeLines sends the lines that differ, the largest gap first. Urgent ones go out while they fit below the backlog,
// and are pending otherwise; others need a budget, unless less than half of the table stands.
func (pb *publisher) writeLines(d *delta, gaps tableGaps) {
	t := d.table
	for _, g := range gaps.lines {
		fits := d.users == 0 || pb.fits(d.users*(d.written+d.header+1))
		if !fits && g.isUrgent() {
			t.pending++
			continue
		}
		d.budget--
		overBudget := d.budget < 0 && !g.isUrgent() && gaps.kept > gaps.full/2
		if !fits || overBudget {
			break
		}
		wanted := t.wanted[g.endpoint]
		if !pb.exclusion.isUnavailable(g.endpoint) {
			gaps.kept += wanted - t.sent[g.endpoint]
		}
		t.sent[g.endpoint] = wanted
		d.written++
		pb.planner.command(SetWeight{Table: t.number, Endpoint: g.endpoint, Weight: wanted})
	}
	maps.DeleteFunc(t.sent, func(_ int, weight float64) bool { return weight == 0 })
}

// account counts the lines that were sent of a table.
func (pb *publisher) account(d *delta) {
	lines := 0.0 // to each proxy that holds it
	if d.written > 0 {
		d.table.pushedAt = pb.planner.now
		lines = d.written + d.header
	}
	subset := pb.planner.subsetOfTable(d.table.number)
	for _, proxy := range pb.proxies {
		received := 0.0
		if proxy.assigned && pb.planner.subset(proxy.ProxyJoined) == subset {
			received = lines
		}
		pb.linesSinceAck[proxy.Proxy] += received // even 0: excludeUnavailable checks for entries
	}
	pb.window.add(d.users * lines)
}
