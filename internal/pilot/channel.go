package pilot

import (
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"indigousher/internal/wire"
)

// Figures of the channel that are its own: how finely it is paced, and when it says that a limit is near.
const (
	pacingBurst      = 16  // lines that are paced together
	warnFraction     = 0.8 // of a limit: reported from here
	queueLimitFactor = 8   // times the backlog that the queue holds at the most: more ends the stream concerned
)

// queuedMessage is a message in the channel.
type queuedMessage struct {
	to      *session
	message *wire.Orders
	atMs    float64
	dueMs   float64
}

// Channel is the way from the module to the proxies: messages leave one after another at a pace counted in lines,
// heads included. It plans nothing: the module's own count keeps the limits, the channel shows whether it does.
type Channel struct {
	pace          *rate.Limiter
	queue         []*queuedMessage
	waitingLines  int // that wait
	backlog       float64
	messageLimit  int
	messageSpanMs float64
	metrics       *Meter
	origin        time.Time
	lastDueMs     float64
	MostSeen      int // the most lines that have waited
	Crowded       int // the most messages to one proxy within the span
	Sent          int // lines, all in all
}

// NewChannel returns an empty channel. linesPerS of 0 leaves it unpaced.
func NewChannel(linesPerS, backlog float64, messageLimit int, messageSpanMs float64, m *Meter) *Channel {
	limit := rate.Limit(linesPerS)
	if linesPerS <= 0 {
		limit = rate.Inf
	}
	return &Channel{pace: rate.NewLimiter(limit, pacingBurst), backlog: backlog, messageLimit: messageLimit, messageSpanMs: messageSpanMs, metrics: m,
		origin: time.Unix(0, 0)}
}

// Reterm takes over changed figures, by the names of the module's terms.
func (c *Channel) Reterm(terms map[string]any) {
	if v, ok := terms["lines_per_s"].(float64); ok && v > 0 {
		c.pace.SetLimit(rate.Limit(v))
	}
	if v, ok := terms["backlog"].(float64); ok {
		c.backlog = v
	}
	if v, ok := terms["messages_most"].(float64); ok {
		c.messageLimit = int(v)
	}
}

// Put adds a message. Where even the bound of the queue is passed, the proxy's stream is ended: it comes back with
// what it holds, and the module hears of both.
func (c *Channel) Put(nowMs float64, to *session, m *wire.Orders) {
	if c.backlog > 0 && float64(c.waitingLines+m.Lines) > queueLimitFactor*c.backlog {
		c.metrics.streamClosed("channel overfull")
		to.stream.Close("channel overfull")
		return
	}
	queued := &queuedMessage{to: to, message: m, atMs: nowMs}
	queued.dueMs = c.reserve(nowMs, m.Lines)
	c.queue = append(c.queue, queued)
	c.waitingLines += m.Lines
	c.MostSeen = max(c.MostSeen, c.waitingLines)
	c.metrics.setWaiting(c.waitingLines, c.backlog)
}

// reserve returns when so many lines will have left.
func (c *Channel) reserve(nowMs float64, lines int) float64 {
	now := c.origin.Add(time.Duration(nowMs * float64(time.Millisecond)))
	due := nowMs
	for left := lines; left > 0; left -= pacingBurst {
		r := c.pace.ReserveN(now, min(left, pacingBurst))
		due = math.Max(due, nowMs+float64(r.DelayFrom(now))/float64(time.Millisecond))
	}
	c.lastDueMs = math.Max(c.lastDueMs, due)
	return c.lastDueMs
}

// Drop forgets what waits for a session that has left. The time it was to take is lost, as is the message.
func (c *Channel) Drop(s *session) {
	kept := c.queue[:0]
	for _, queued := range c.queue {
		if queued.to == s {
			c.waitingLines -= queued.message.Lines
			continue
		}
		kept = append(kept, queued)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	c.metrics.setWaiting(c.waitingLines, c.backlog)
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
		queued := c.queue[n]
		n++
		c.waitingLines -= queued.message.Lines
		lines += queued.message.Lines
		c.Sent += queued.message.Lines
		queued.message.AtMs, queued.message.AgeMs = queued.atMs, nowMs-queued.atMs
		queued.to.recentSendsMs = append(withinSpan(queued.to.recentSendsMs, nowMs, c.messageSpanMs), nowMs)
		c.Crowded = max(c.Crowded, len(queued.to.recentSendsMs))
		c.metrics.messageSent(queued.message, len(queued.to.recentSendsMs), c.messageLimit)
		if err := queued.to.stream.Send(queued.message); err != nil {
			queued.to.stream.Close(err.Error())
		}
	}
	if n > 0 {
		c.queue = append(c.queue[:0], c.queue[n:]...)
		c.metrics.setWaiting(c.waitingLines, c.backlog)
	}
	return lines
}

// Lines returns how many lines wait.
func (c *Channel) Lines() int { return c.waitingLines }

// withinSpan returns how many of the times lie in the span before now, and drops the older ones.
func withinSpan(times []float64, nowMs, spanMs float64) []float64 {
	return times[sort.SearchFloat64s(times, nowMs-spanMs):]
}
