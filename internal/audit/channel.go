package audit

import (
	"maps"
	"slices"

	"indigousher/internal/testbed/eventlog"
)

type queuedMessage struct {
	from, to float64
	lines    int
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
