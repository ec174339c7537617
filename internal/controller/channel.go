package controller

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"indigousher/internal/wire"
)

// Figures of the channel that are its own: how finely it is paced, and when it says that a limit is near.
const (
	grain    = 16  // lines that are paced together
	nearPart = 0.8 // of a limit: reported from here
	overfull = 8   // times the backlog that the queue holds at the most: more ends the stream concerned
)

// item is a message in the channel.
type item struct {
	to      *session
	message *wire.Orders
	atMs    float64
	dueMs   float64
}

// Channel is the way from the module to the proxies: messages leave one after another at a pace counted in lines,
// heads included. It plans nothing: the module's own count keeps the limits, the channel shows whether it does.
type Channel struct {
	pace        *rate.Limiter
	queue       []*item
	lines       int // that wait
	backlog     float64
	most        int
	overMs      float64
	meter       *Metrics
	origin      time.Time
	lastDue     float64
	MaxLines    int // the most lines that have waited
	MaxMessages int // the most messages to one proxy within the span
	Sent        int // lines, all in all
}

// NewChannel returns an empty channel. linesPerS of 0 leaves it unpaced.
func NewChannel(linesPerS, backlog float64, most int, overMs float64, m *Metrics) *Channel {
	limit := rate.Limit(linesPerS)
	if linesPerS <= 0 {
		limit = rate.Inf
	}
	return &Channel{pace: rate.NewLimiter(limit, grain), backlog: backlog, most: most, overMs: overMs, meter: m,
		origin: time.Unix(0, 0)}
}

// Reconfigure takes over changed figures, by the names of the module's terms.
func (c *Channel) Reconfigure(terms map[string]any) {
	if v, ok := terms["lines_per_s"].(float64); ok && v > 0 {
		c.pace.SetLimit(rate.Limit(v))
	}
	if v, ok := terms["backlog"].(float64); ok {
		c.backlog = v
	}
	if v, ok := terms["messages_most"].(float64); ok {
		c.most = int(v)
	}
}

// Enqueue adds a message. Where even the bound of the queue is passed, the proxy's stream is ended: it comes back with
// what it holds, and the module hears of both.
func (c *Channel) Enqueue(nowMs float64, to *session, m *wire.Orders) {
	if c.backlog > 0 && float64(c.lines+m.Lines) > overfull*c.backlog {
		c.meter.cutOff("channel overfull")
		to.stream.Close("channel overfull")
		return
	}
	it := &item{to: to, message: m, atMs: nowMs}
	it.dueMs = c.reserve(nowMs, m.Lines)
	c.queue = append(c.queue, it)
	c.lines += m.Lines
	c.MaxLines = max(c.MaxLines, c.lines)
	c.meter.waiting(c.lines, c.backlog)
}

// reserve returns when so many lines will have left.
func (c *Channel) reserve(nowMs float64, lines int) float64 {
	now := c.origin.Add(time.Duration(nowMs * float64(time.Millisecond)))
	due := nowMs
	for left := lines; left > 0; left -= grain {
		r := c.pace.ReserveN(now, min(left, grain))
		due = math.Max(due, nowMs+float64(r.DelayFrom(now))/float64(time.Millisecond))
	}
	c.lastDue = math.Max(c.lastDue, due)
	return c.lastDue
}

// Drop forgets what waits for a session that has left. The time it was to take is lost, as is the message.
func (c *Channel) Drop(s *session) {
	kept := c.queue[:0]
	for _, it := range c.queue {
		if it.to == s {
			c.lines -= it.message.Lines
			continue
		}
		kept = append(kept, it)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	c.meter.waiting(c.lines, c.backlog)
}

// Due returns when the next message leaves.
func (c *Channel) Due() float64 {
	if len(c.queue) == 0 {
		return math.Inf(1)
	}
	return c.queue[0].dueMs
}

// Send hands over the messages that have left by now and returns how many lines they held.
func (c *Channel) Send(nowMs float64) (lines int) {
	n := 0
	for n < len(c.queue) && c.queue[n].dueMs <= nowMs {
		it := c.queue[n]
		n++
		c.lines -= it.message.Lines
		lines += it.message.Lines
		c.Sent += it.message.Lines
		it.message.AtMs, it.message.AgeMs = it.atMs, nowMs-it.atMs
		it.to.recent = append(within(it.to.recent, nowMs, c.overMs), nowMs)
		c.MaxMessages = max(c.MaxMessages, len(it.to.recent))
		c.meter.sent(it.message, len(it.to.recent), c.most)
		if err := it.to.stream.Send(it.message); err != nil {
			it.to.stream.Close(err.Error())
		}
	}
	if n > 0 {
		c.queue = append(c.queue[:0], c.queue[n:]...)
		c.meter.waiting(c.lines, c.backlog)
	}
	return lines
}

// Lines returns how many lines wait.
func (c *Channel) Lines() int { return c.lines }
