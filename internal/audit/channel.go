package audit

import (
	"cmp"
	"maps"
	"slices"

	"indigousher/internal/testbed/eventlog"
)

// queuedMessage is a message that was queued in a pilot's channel before it was sent.
type queuedMessage struct {
	from  float64 // time in ms at which it was queued
	to    float64 // time in ms at which it was sent
	lines int     // number of lines in the message
}

// queueChange is a change of the length of a channel's queue.
type queueChange struct {
	at    float64 // time in ms
	lines int     // lines added; negative for a message that was sent
}

// recordMessage records a message that a proxy received and checks the first half of the rule ChannelQueue: a proxy
// receives at most MessagesMost messages within any MessagesOver. A limit of 0 or less turns this check off.
func (a *Auditor) recordMessage(e eventlog.Event) {
	proxy := a.proxy(e.Who)
	proxy.lastCommandAt = e.At - e.Value
	proxy.messageTimes = append(proxy.messageTimes, e.At)

	pilot := a.pilot(e.Peer)
	message := queuedMessage{from: e.Since, to: e.Since + e.Value, lines: e.N}
	pilot.queued[pilot.incarnation] = append(pilot.queued[pilot.incarnation], message)

	limit := a.settings.MessagesMost
	if limit <= 0 {
		return
	}
	span := float64(a.settings.MessagesOver.Milliseconds())
	for proxy.messageTimes[0] < e.At-span {
		proxy.messageTimes = proxy.messageTimes[1:]
	}
	count := len(proxy.messageTimes)
	a.verdict(ChannelQueue).observe(float64(count)/float64(limit), e.At, e.Who, "%d messages of %s, %d allowed",
		count, e.Peer, limit)
}

// checkQueues checks the second half of the rule ChannelQueue: no channel holds more lines than its queue limit. It
// runs after the last event, because the time that a message was queued is known only from its receipt.
func (a *Auditor) checkQueues() {
	for _, name := range slices.Sorted(maps.Keys(a.pilots)) {
		for _, messages := range a.pilots[name].queued {
			a.checkQueue(name, messages)
		}
	}
}

// checkQueue checks the queue of one incarnation of a pilot, from all messages that this incarnation sent.
func (a *Auditor) checkQueue(pilot string, messages []queuedMessage) {
	lines := 0
	for _, change := range queueChanges(messages) {
		lines += change.lines
		a.verdict(ChannelQueue).observe(float64(lines)/a.settings.Backlog, change.at, pilot,
			"%d lines wait, %.0f allowed", lines, a.settings.Backlog)
	}
}

// queueChanges returns the changes of a queue's length, sorted by time. Of changes at the same time, lines that leave
// the queue come before lines that are added, so that they are not counted together.
func queueChanges(messages []queuedMessage) []queueChange {
	var changes []queueChange
	for _, m := range messages {
		changes = append(changes, queueChange{at: m.from, lines: m.lines}, queueChange{at: m.to, lines: -m.lines})
	}
	slices.SortFunc(changes, func(x, y queueChange) int {
		if x.at != y.at {
			return cmp.Compare(x.at, y.at)
		}
		return x.lines - y.lines
	})
	return changes
}
