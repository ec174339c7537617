package planner

// This file decides which table changes are sent to the proxies, and when. The publisher keeps the last sent state of
// each table and sends the lines that differ sufficiently from the plan while the channel has room (flowcontrol.go).
// Lines of endpoints that drain or have restarted are sent first, then the largest differences; the remaining lines
// wait for the next control round.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// tolerance and channelTolerance define which lines of a table are sent: those whose planned and last sent weights
	// differ by more than a fraction of the larger one. The fraction is tolerance, plus channelTolerance times the
	// seconds (at most 1) that the channel needs to send all tables of a zone.
	tolerance        = 0.12
	channelTolerance = 0.2
	// minWorthwhileDiff is the smallest sum of weight differences that is worth sending, as a fraction of a table's
	// planned weight, if the message headers occupy the channel for a second or more. If they take less time, the
	// minimum is proportionally smaller.
	minWorthwhileDiff = 0.5

	// backlogDivisor limits the queue of deferrable lines to a third of the channel's backlog; the rest is reserved for
	// urgent lines (see isUrgent).
	backlogDivisor = 3.0

	// messageSpacing is the interval between regular messages to a proxy, relative to the shortest that its message
	// limit allows. It leaves room for half as many urgent messages within the limit.
	messageSpacing = 1.5

	// defaultLinesPerSecond is the rate of the channel, in lines per second, if none is configured.
	defaultLinesPerSecond = 1000.0
)

// publisher is the actor that tracks which tables and lines the proxies hold and issues the commands that update them.
type publisher struct {
	mailbox mailbox[publisherMessage]
	planner *Planner

	tables    []*table            // indexed by number
	proxies   map[int]*proxyState // joined proxies by index
	exclusion exclusion
	window    sendWindow
	blocked   blockage

	linesSinceAck    map[int]float64 // lines sent to each proxy since the last request for an acknowledgement
	windowReopened   bool            // a probe was acknowledged: pending lines can be sent before the next round
	nextAssignmentAt float64         // ms, when the next attempt to assign tables is due
}

// table is the routing table that the proxies of one subset use for the request classes of one group.
type table struct {
	number          int
	sent            map[int]float64      // weights by endpoint, as last sent
	wanted          map[int]float64      // weights by endpoint, as last planned
	admissionSent   map[int]SetAdmission // by class mask, as last sent
	admissionWanted map[int]SetAdmission // by class mask, as last planned
	planned         bool                 // the plan was recomputed since the last push
	pending         int                  // urgent lines that did not fit into the channel in the last push
	pushedAt        float64              // ms, when lines or admission levels of the table were last sent
}

// newPublisher returns a publisher without tables or proxies.
func newPublisher(p *Planner) *publisher {
	pb := &publisher{
		planner: p, proxies: map[int]*proxyState{}, exclusion: newExclusion(),
		linesSinceAck: map[int]float64{},
	}
	pb.mailbox.receive = pb.receive
	return pb
}

// addTables adds count empty tables.
func (pb *publisher) addTables(count int) {
	for range count {
		pb.tables = append(pb.tables, &table{
			number: len(pb.tables), sent: map[int]float64{}, wanted: map[int]float64{},
			admissionSent: map[int]SetAdmission{}, admissionWanted: map[int]SetAdmission{},
		})
	}
}

// SentWeights returns the weights of all tables as they were last sent, by table number and endpoint. It is meant for
// inspection, for example for a comparison with what the proxies hold.
func (p *Planner) SentWeights() []map[int]float64 {
	var weights []map[int]float64
	for _, t := range p.publisher.tables {
		weights = append(weights, maps.Clone(t.sent))
	}
	return weights
}

// receive handles a message to the publisher.
func (pb *publisher) receive(message publisherMessage) {
	switch message := message.(type) {
	case wantedWeight:
		pb.tables[message.table].wanted[message.endpoint] = message.weight
		pb.tables[message.table].planned = true
	case wantedAdmission:
		pb.tables[message.command.Table].admissionWanted[message.command.Classes] = message.command
	case availability:
		pb.exclusion.update(message, pb.planner.now)
	case indexReassigned:
		pb.clearTablesWith(message.endpoint)
		pb.exclusion.reassign(message.endpoint)
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

// clearTablesWith clears the tables that hold a line of an endpoint whose index was reassigned. The line can no longer be
// removed by itself, because the index names another endpoint now. Tables that proxies hold have lost the line long
// before, when the endpoint was gone, so that it is found only in tables without users, for which nothing is sent.
func (pb *publisher) clearTablesWith(endpoint int) {
	for _, t := range pb.tables {
		delete(t.wanted, endpoint)
		if _, found := t.sent[endpoint]; !found {
			continue
		}
		pb.planner.command(ClearTable{t.number})
		clear(t.sent)
		clear(t.admissionSent)
		t.planned = true
	}
}

// flush runs at the end of each call of Handle and issues commands while the channel has room: first changed lines of
// tables, then assignments of tables to proxies that wait for them, then exclusions of endpoints. If anything was sent,
// a request for an acknowledgement follows.
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
	if pb.window.written > writtenBefore { // checked again because updateBlockage may have sent a probe
		p.command(AckRequest{Number: pb.window.seal(p.now, pb.linesSinceAck)})
		pb.linesSinceAck = map[int]float64{}
	}
}

// tablesToPush returns the tables whose plan was recomputed and, if a probe was acknowledged, those with pending lines.
// The table that was pushed least recently comes first.
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

// headerLines returns the overhead of a message in lines, including its request for an acknowledgement.
func (pb *publisher) headerLines() float64 { return pb.planner.settings.HeaderLines + 1 }

// linesPerSecond returns the rate of the channel in lines per second.
func (pb *publisher) linesPerSecond() float64 {
	return pb.planner.settings.LinesPerSecond.Or(defaultLinesPerSecond)
}

// messageInterval returns the minimum time between regular messages to a proxy, in ms.
func (pb *publisher) messageInterval() float64 {
	return messageSpacing * pb.planner.settings.MessageWindowMs / pb.planner.settings.MessageLimit
}

// tableUpdate tracks the push of one table, which sends the table's changes to the proxies that hold it.
type tableUpdate struct {
	table       *table
	users       float64 // number of proxies that hold the table
	headerLines float64 // overhead of a message, in lines
	budget      float64 // deferrable lines that may still be sent; negative if exceeded
	written     float64 // lines and admission levels sent so far
}

// push sends a table's changed lines and admission levels while the channel has room. It does nothing if no proxy of
// the table's subset has joined.
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
		diff.lines = nil // the message headers would cost more than the update gains
	}
	pb.writeLines(update, diff)
	pb.countSentLines(update)
}

// usersOf returns the number of proxies that hold a table, and whether any proxy of the table's subset has joined.
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

// lineBudget returns how many deferrable lines of a table may be sent now. It is 0 if the last push to the table's
// users was too recent, and negative if the channel has no room for a message.
func (pb *publisher) lineBudget(update *tableUpdate) float64 {
	if update.users > 0 && update.table.pushedAt+pb.messageInterval() > pb.planner.now {
		return 0
	}
	room := pb.planner.settings.BacklogLines/backlogDivisor - pb.window.queued
	return room/math.Max(update.users, 1e-9) - update.headerLines
}

// writeLevels sends the admission levels that changed, while the budget lasts.
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

// Sizes given to urgent differences, so that they sort before all others. Their sum may be infinite, which is harmless.
const (
	unavailableSize = math.MaxFloat64
	restartSize     = math.MaxFloat64 / 2
)

// lineDiff is a line whose planned weight differs from the last sent one.
type lineDiff struct {
	endpoint int
	size     float64 // difference of the weights, or the size given to urgent differences
}

// isUrgent returns whether the line is sent regardless of the budget, because its endpoint drains, is gone, or has
// restarted and would be overloaded by its old weight.
func (d lineDiff) isUrgent() bool { return d.size >= restartSize }

// tableDiff describes how the plan of a table differs from its last sent state.
type tableDiff struct {
	lines         []lineDiff // in descending order of size
	sizeSum       float64    // sum of the sizes of all lines
	sentWeight    float64    // total weight last sent for endpoints that are available
	plannedWeight float64    // total planned weight of all endpoints
}

// diff compares the plan of a table with its last sent state. The result contains the lines that differ by more than
// the tolerance.
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

// tolerance returns the fraction by which a line's planned and sent weights must differ for the line to be sent. It
// grows with the time that the channel needs to send all tables of the zone.
func (pb *publisher) tolerance(update *tableUpdate) float64 {
	lines := update.users * float64(pb.planner.subsetsOfZone*len(update.table.wanted))
	return tolerance + channelTolerance*math.Min(1, lines/pb.linesPerSecond())
}

// diffSize returns the size by which a difference is sorted. Unavailable endpoints come first, then endpoints that have
// restarted and should get less than half of their sent weight: their old weight would overload them.
func (pb *publisher) diffSize(endpoint int, size, wanted, sent float64) float64 {
	switch {
	case pb.exclusion.isUnavailable(endpoint):
		return unavailableSize
	case pb.planner.isWarmingUp(endpoint) && wanted < sent/2:
		return restartSize
	}
	return size
}

// isWorthwhile returns whether the differences are large enough to justify the message headers needed to send them.
func (pb *publisher) isWorthwhile(update *tableUpdate, diff tableDiff) bool {
	headers := update.users * float64(pb.planner.subsetsOfZone) * update.headerLines
	seconds := headers / pb.linesPerSecond()
	return diff.sizeSum >= minWorthwhileDiff*math.Min(1, seconds)*diff.plannedWeight
}

// writeLines sends the changed lines in descending order of size. Urgent lines need only room in the backlog and count
// as pending if there is none. Other lines also need budget, except while the weight sent for available endpoints is at
// most half of the table's planned weight.
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

// countSentLines adds the lines of a push to the send window and to the counts of the proxies that hold the table.
func (pb *publisher) countSentLines(update *tableUpdate) {
	lines := 0.0 // sent to each proxy that holds the table, with the message overhead
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
		pb.linesSinceAck[proxy.Proxy] += received // adds even 0, as excludeUnavailable checks whether entries exist
	}
	pb.window.add(update.users * lines)
}
