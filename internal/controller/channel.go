package controller

import (
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"indigousher/internal/wire"
)

const (
	// pacingBurst is how many lines the rate limiter lets through at once: messages reserve time in pieces of it.
	pacingBurst = 16
	// queueLimitFactor times the backlog is the most lines that the queue holds; a message beyond it ends its stream.
	queueLimitFactor = 8
)

// closeChannelFull is the reason of closing the stream of a proxy whose message does not fit into the queue any more.
const closeChannelFull = "channel overfull"

// queuedMessage is a message in the channel.
type queuedMessage struct {
	recipient  *session
	message    *wire.Orders
	enqueuedMs float64 // when it was put into the channel
	dueMs      float64 // when it leaves
}

// Channel is the way from the decider to the proxies: messages leave one after another at a pace counted in lines,
// heads included. It plans nothing: the decider's own count keeps the limits, the channel shows whether it does.
// It is used by the goroutine that drives the Core.
type Channel struct {
	limiter      *rate.Limiter
	epoch        time.Time // the moment 0 of the core's clock, for the limiter
	queue        []*queuedMessage
	waitingLines int     // of all queued messages
	lastDueMs    float64 // when the message queued last leaves

	// Limits by the settings; 0 for none. They are reported, not enforced, but for queueLimitFactor times the backlog.
	backlog         float64 // lines that may wait
	messageLimit    int     // messages to one proxy within messageWindowMs
	messageWindowMs float64

	metrics *Metrics

	// MaxLines is the most lines that have waited.
	MaxLines int
	// MaxMessages is the most messages that left to one proxy within messageWindowMs.
	MaxMessages int
	// Sent counts the lines that have left.
	Sent int
}

// NewChannel returns an empty channel. linesPerS of 0 leaves it unpaced; backlog is in lines, 0 for no limit.
func NewChannel(linesPerS, backlog float64, messageLimit int, messageWindowMs float64, m *Metrics) *Channel {
	limit := rate.Limit(linesPerS)
	if linesPerS <= 0 {
		limit = rate.Inf
	}
	return &Channel{
		limiter:         rate.NewLimiter(limit, pacingBurst),
		epoch:           time.Unix(0, 0),
		backlog:         backlog,
		messageLimit:    messageLimit,
		messageWindowMs: messageWindowMs,
		metrics:         m,
	}
}

// Reconfigure takes over changed limits, by the names of the decider's settings.
func (c *Channel) Reconfigure(settings map[string]any) {
	if v, ok := settings["lines_per_s"].(float64); ok && v > 0 {
		c.limiter.SetLimit(rate.Limit(v))
	}
	if v, ok := settings["backlog"].(float64); ok {
		c.backlog = v
	}
	if v, ok := settings["messages_most"].(float64); ok {
		c.messageLimit = int(v)
	}
}

// Enqueue adds a message. Where even the bound of the queue is passed, the proxy's stream is closed: it comes back with
// what it holds, and the decider hears of both.
func (c *Channel) Enqueue(nowMs float64, recipient *session, m *wire.Orders) {
	if c.backlog > 0 && float64(c.waitingLines+m.Lines) > queueLimitFactor*c.backlog {
		c.metrics.streamClosed(closeChannelFull)
		recipient.stream.Close(closeChannelFull)
		return
	}
	dueMs := c.reserve(nowMs, m.Lines)
	c.queue = append(c.queue, &queuedMessage{recipient: recipient, message: m, enqueuedMs: nowMs, dueMs: dueMs})
	c.waitingLines += m.Lines
	c.MaxLines = max(c.MaxLines, c.waitingLines)
	c.metrics.setWaiting(c.waitingLines, c.backlog)
}

// reserve takes the time of so many lines and returns when the last of them leaves: never before those queued earlier.
func (c *Channel) reserve(nowMs float64, lines int) float64 {
	now := c.epoch.Add(time.Duration(nowMs * float64(time.Millisecond)))
	due := nowMs
	for remaining := lines; remaining > 0; remaining -= pacingBurst {
		reservation := c.limiter.ReserveN(now, min(remaining, pacingBurst))
		due = math.Max(due, nowMs+float64(reservation.DelayFrom(now))/float64(time.Millisecond))
	}
	c.lastDueMs = math.Max(c.lastDueMs, due)
	return c.lastDueMs
}

// Drop forgets what waits for a session that has left. The time reserved for it is lost, as are the messages.
func (c *Channel) Drop(s *session) {
	kept := c.queue[:0]
	for _, queued := range c.queue {
		if queued.recipient == s {
			c.waitingLines -= queued.message.Lines
			continue
		}
		kept = append(kept, queued)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	c.metrics.setWaiting(c.waitingLines, c.backlog)
}

// Due returns when the next message leaves: infinity if none waits.
func (c *Channel) Due() float64 {
	if len(c.queue) == 0 {
		return math.Inf(1)
	}
	return c.queue[0].dueMs
}

// Send hands over the messages that have left by now and returns how many lines they held.
func (c *Channel) Send(nowMs float64) (lines int) {
	sent := 0
	for sent < len(c.queue) && c.queue[sent].dueMs <= nowMs {
		queued := c.queue[sent]
		sent++
		lines += queued.message.Lines
		c.deliver(nowMs, queued)
	}
	if sent > 0 {
		c.queue = append(c.queue[:0], c.queue[sent:]...)
		c.metrics.setWaiting(c.waitingLines, c.backlog)
	}
	return lines
}

// deliver hands a message to its stream. A stream that fails is closed.
func (c *Channel) deliver(nowMs float64, queued *queuedMessage) {
	message := queued.message
	c.waitingLines -= message.Lines
	c.Sent += message.Lines
	message.AtMs = queued.enqueuedMs
	message.AgeMs = nowMs - queued.enqueuedMs
	recent := queued.recipient.recentSends.add(nowMs, c.messageWindowMs)
	c.MaxMessages = max(c.MaxMessages, recent)
	c.metrics.messageSent(message, recent, c.messageLimit)
	if err := queued.recipient.stream.Send(message); err != nil {
		queued.recipient.stream.Close(err.Error())
	}
}

// Lines returns how many lines wait.
func (c *Channel) Lines() int { return c.waitingLines }

// sendTimes are when messages left to one proxy, in ms, oldest first.
type sendTimes []float64

// add notes a message, forgets those longer ago than the span, and returns how many are left.
func (t *sendTimes) add(nowMs, windowMs float64) int {
	recent := (*t)[sort.SearchFloat64s(*t, nowMs-windowMs):]
	*t = append(recent, nowMs)
	return len(*t)
}
