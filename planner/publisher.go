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

	// minWorthwhileDiff is the least sum of gaps, as a fraction of a table's weight, that justifies headers that take a
	// second of the channel or more; headers that take less are justified by less in proportion.
	minWorthwhileDiff = 0.5

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

	linesSinceAck    map[int]float64 // to each proxy since the last request for an acknowledgement went out
	windowReopened   bool            // a probe was answered: pending lines need not wait for the next round
	nextAssignmentAt float64         // ms, when the assignment of tables goes on
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
		pb.handleStall(message)
	case Ack:
		pb.handleAck(message)
	}
}

// flush commands all that the channel has room for, at the end of each call of Handle: differences of tables, then
// tables for waiting proxies, then exclusions of endpoints. A request for an acknowledgement follows.
func (pb *publisher) flush() {
	p := pb.planner
	writtenBefore := pb.window.written
	pb.window.advance(p.now, pb.linesPerSecond()/1000)
	for _, t := range pb.tablesToPush() {
		pb.push(t)
	}
	pb.assignWaiting()
	pb.excludeUnavailable()
	pb.updateBlockage(pb.window.written > writtenBefore)
	if pb.window.written > writtenBefore { // by the above, or by a probe
		p.command(AckRequest{Number: pb.window.seal(p.now, pb.linesSinceAck)})
		pb.linesSinceAck = map[int]float64{}
	}
}

// tablesToPush returns the tables that were planned again, and those with pending lines if a probe was acknowledged:
// the one that waited longest first.
func (pb *publisher) tablesToPush() []*table {
	var due []*table
	for _, t := range pb.tables {
		if t.planned || pb.windowReopened && t.pending > 0 {
			due = append(due, t)
		}
	}
	pb.windowReopened = false
	slices.SortStableFunc(due, func(a, b *table) int { return cmp.Compare(a.pushedAt, b.pushedAt) })
	return due
}

// headerLines returns what a message costs beside the lines it brings, with its request for an acknowledgement.
func (pb *publisher) headerLines() float64 { return pb.planner.settings.HeaderLines + 1 }

// linesPerSecond returns the pace of the channel.
func (pb *publisher) linesPerSecond() float64 {
	return pb.planner.settings.LinesPerSecond.Or(defaultLinesPerSecond)
}

// messageInterval returns how far apart the messages of a proxy are, in ms.
func (pb *publisher) messageInterval() float64 {
	return messageSpacing * pb.planner.settings.MessageSpanMs / pb.planner.settings.MessageLimit
}

// tableUpdate is what goes out of a table in one push.
type tableUpdate struct {
	table       *table
	users       float64 // proxies that hold the table
	headerLines float64 // lines that a message costs beside those it brings
	budget      float64 // lines that may go out of what can wait
	written     float64 // lines and levels that go out
}

// push sends a table's differences, as far as there is room. A table that no joined proxy uses is not sent.
func (pb *publisher) push(t *table) {
	users, joined := pb.usersOf(t)
	t.pending = 0
	if !joined {
		return
	}
	t.planned = false
	update := &tableUpdate{table: t, users: users, headerLines: pb.headerLines()}
	update.budget = pb.lineBudget(update)
	pb.writeLevels(update)
	diff := pb.diff(update)
	if update.written == 0 && !pb.isWorthwhile(update, diff) {
		diff.lines = nil // their headers would cost more than they gain
	}
	pb.writeLines(update, diff)
	pb.countSentLines(update)
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
func (pb *publisher) lineBudget(update *tableUpdate) float64 {
	if update.users > 0 && update.table.pushedAt+pb.messageInterval() > pb.planner.now {
		return 0
	}
	room := pb.planner.settings.BacklogLines/backlogDivisor - pb.window.queued
	return room/math.Max(update.users, 1e-9) - update.headerLines
}

// writeLevels sends the admission levels that differ.
func (pb *publisher) writeLevels(update *tableUpdate) {
	t := update.table
	for _, classes := range slices.Sorted(maps.Keys(t.admissionWanted)) {
		wanted := t.admissionWanted[classes]
		if update.budget >= 1 && t.admissionSent[classes] != wanted {
			t.admissionSent[classes] = wanted
			update.budget--
			update.written++
			pb.planner.command(wanted)
		}
	}
}

// Sizes that sort gaps before all others. Their sum may be infinite, which is harmless.
const (
	unavailableSize = math.MaxFloat64
	restartSize     = math.MaxFloat64 / 2
)

// lineDiff is the difference between a line as planned and as last sent.
type lineDiff struct {
	endpoint int
	size     float64
}

// isUrgent returns whether the line doesn't wait for a budget: its endpoint drains, is gone, or has restarted.
func (d lineDiff) isUrgent() bool { return d.size >= restartSize }

// tableDiff is how a table as planned differs from what was sent.
type tableDiff struct {
	lines         []lineDiff // the largest first
	sizeSum       float64    // of the sizes
	sentWeight    float64    // weight sent of the endpoints that are available
	plannedWeight float64    // weight planned
}

// diff returns the lines of a table that differ by more than the tolerance.
func (pb *publisher) diff(update *tableUpdate) tableDiff {
	t := update.table
	threshold := pb.tolerance(update)
	diff := tableDiff{}
	for _, endpoint := range slices.Sorted(maps.Keys(t.wanted)) {
		wanted := t.wanted[endpoint]
		sent := t.sent[endpoint]
		if !pb.exclusion.isUnavailable(endpoint) {
			diff.sentWeight += sent
		}
		diff.plannedWeight += wanted
		if size := math.Abs(sent - wanted); size > threshold*math.Max(sent, wanted) {
			line := lineDiff{endpoint, pb.diffSize(endpoint, size, wanted, sent)}
			diff.lines = append(diff.lines, line)
			diff.sizeSum += line.size
		}
	}
	slices.SortStableFunc(diff.lines, func(a, b lineDiff) int { return cmp.Compare(b.size, a.size) })
	return diff
}

// tolerance returns the fraction by which a line has to differ to be sent. It grows with the time that the channel
// takes for all tables of the zone.
func (pb *publisher) tolerance(update *tableUpdate) float64 {
	lines := update.users * float64(pb.planner.subsetsOfZone*len(update.table.wanted))
	return tolerance + channelTolerance*math.Min(1, lines/pb.linesPerSecond())
}

// diffSize returns the size of a gap, by which lines are sorted. An endpoint that has restarted is overloaded by its old
// weight unless that is cut at once.
func (pb *publisher) diffSize(endpoint int, size, wanted, sent float64) float64 {
	switch {
	case pb.exclusion.isUnavailable(endpoint):
		return unavailableSize
	case pb.planner.isWarmingUp(endpoint) && wanted < sent/2:
		return restartSize
	}
	return size
}

// isWorthwhile returns whether the gaps justify the cost of the headers that go out with them.
func (pb *publisher) isWorthwhile(update *tableUpdate, diff tableDiff) bool {
	headers := update.users * float64(pb.planner.subsetsOfZone) * update.headerLines
	seconds := headers / pb.linesPerSecond()
	return diff.sizeSum >= minWorthwhileDiff*math.Min(1, seconds)*diff.plannedWeight
}

// writeLines sends the lines that differ, the largest gap first. Urgent ones go out while they fit below the backlog,
// and are pending otherwise; others need a budget, unless less than half of the table stands.
func (pb *publisher) writeLines(update *tableUpdate, diff tableDiff) {
	t := update.table
	for _, line := range diff.lines {
		fits := update.users == 0 || pb.fits(update.users*(update.written+update.headerLines+1))
		if !fits && line.isUrgent() {
			t.pending++
			continue
		}
		update.budget--
		overBudget := update.budget < 0 && !line.isUrgent() && diff.sentWeight > diff.plannedWeight/2
		if !fits || overBudget {
			break
		}
		wanted := t.wanted[line.endpoint]
		if !pb.exclusion.isUnavailable(line.endpoint) {
			diff.sentWeight += wanted - t.sent[line.endpoint]
		}
		t.sent[line.endpoint] = wanted
		update.written++
		pb.planner.command(SetWeight{Table: t.number, Endpoint: line.endpoint, Weight: wanted})
	}
	maps.DeleteFunc(t.sent, func(_ int, weight float64) bool { return weight == 0 })
}

// countSentLines counts the lines that were sent of a table.
func (pb *publisher) countSentLines(update *tableUpdate) {
	lines := 0.0 // to each proxy that holds it
	if update.written > 0 {
		update.table.pushedAt = pb.planner.now
		lines = update.written + update.headerLines
	}
	subset := pb.planner.subsetOfTable(update.table.number)
	for _, proxy := range pb.proxies {
		received := 0.0
		if proxy.assigned && pb.planner.subset(proxy.ProxyJoined) == subset {
			received = lines
		}
		pb.linesSinceAck[proxy.Proxy] += received // even 0: excludeUnavailable checks for entries
	}
	pb.window.add(update.users * lines)
}
