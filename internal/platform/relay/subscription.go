package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// stream is one of the connections.
type stream struct {
	open     bool
	opened   time.Time
	heard    time.Time
	address  string
	cut      context.CancelFunc
	standing map[int]bool // told since the opening; nil: no longer counted
	gap      bool         // nothing else carried the events when it opened
	long     bool         // for so long that a proxy may have left and come back
	stands   time.Time    // a proxy that stands was told last
}

// opened notes that a stream begins, and whether there is a gap in the events before it.
func (n *Events) opened(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, l := time.Now(), &n.streams[i]
	l.open, l.opened, l.heard, l.standing, l.gap, l.long, l.stands = true, now, now, map[int]bool{}, true, false, now
	for j := range n.streams {
		if o := &n.streams[j]; j != i && o.open && now.Sub(o.heard) < freshFor {
			l.gap = false
		}
	}
	if l.gap {
		if l.long = !n.covered.IsZero() && now.Sub(n.covered) > gapMost; !n.covered.IsZero() {
			n.Counters.Gaps.Add(1)
			n.log.Warn("gap in the event streams", zap.Duration("for", now.Sub(n.covered)))
		}
	}
}

// closed notes that a stream has ended. Where it had fallen silent and the other began after it last said anything, or
// where it had yet to tell what stands after a gap, what happened in between neither has told: the other opens anew.
func (n *Events) closed(i int, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.streams[i]
	if !l.open {
		return
	}
	untold := l.gap && l.standing != nil
	l.open, l.standing = false, nil
	if !untold && l.heard.After(n.covered) {
		n.covered = l.heard
	}
	for j := range n.streams {
		if o := &n.streams[j]; j != i && o.open && !o.gap && (untold || silent && o.opened.After(l.heard)) {
			o.open, o.standing = false, nil
			o.cut()
		}
	}
}
