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
	to      *session
	message *wire.Commands
	atMs    float64 // when it was put into the channel
	dueMs   float64 // when it leaves
}

// Channel is the way from the decider to the proxies: messages leave one after another at a pace counted in lines,
// heads included. It plans nothing: the decider's own count keeps the limits, the channel shows whether it does.
// It is used by the goroutine that drives the Core.
type Channel struct {
	pace         *rate.Limiter
	origin       time.Time // the moment 0 of the core's clock, for the limiter
	queue        []*queuedMessage
	waitingLines int     // of all queued messages
	lastDueMs    float64 // when the message queued last leaves

	// Limits by the settings; 0 for none. They are reported, not enforced, but for queueLimitFactor times the backlog.
	backlog       float64 // lines that may wait
	messageLimit  int     // messages to one proxy within messageSpanMs
	messageSpanMs float64

	metrics *Metrics

	// MaxLines is the most lines that have waited.
	MaxLines int
	// MaxMessages is the most messages that left to one proxy within messageSpanMs.
	MaxMessages int
	// Sent counts the lines that have left.
	Sent int
}

// NewChannel returns an empty channel. linesPerS of 0 leaves it unpaced; backlog is in lines, 0 for no limit.
func NewChannel(linesPerS, backlog float64, messageLimit int, messageSpanMs float64, m *Metrics) *Channel {
	limit := rate.Limit(linesPerS)
	if linesPerS <= 0 {
		limit = rate.Inf
	}
	return &Channel{
		pace:          rate.NewLimiter(limit, pacingBurst),
		origin:        time.Unix(0, 0),
		backlog:       backlog,
		messageLimit:  messageLimit,
		messageSpanMs: messageSpanMs,
		metrics:       m,
	}
}

// Reconfigure takes over changed limits, by the names of the decider's settings.
func (c *Channel) Reconfigure(terms map[string]any) {
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

// Enqueue adds a message. Where even the bound of the queue is passed, the proxy's stream is closed: it comes back with
// what it holds, and the decider hears of both.
func (c *Channel) Enqueue(nowMs float64, to *session, m *wire.Commands) {
	if c.backlog > 0 && float64(c.waitingLines+m.CostLines) > queueLimitFactor*c.backlog {
		c.metrics.streamClosed(closeChannelFull)
		to.stream.Close(closeChannelFull)
		return
	}
	dueMs := c.reserve(nowMs, m.CostLines)
	c.queue = append(c.queue, &queuedMessage{to: to, message: m, atMs: nowMs, dueMs: dueMs})
	c.waitingLines += m.CostLines
	c.MaxLines = max(c.MaxLines, c.waitingLines)
	c.metrics.setWaiting(c.waitingLines, c.backlog)
}

// reserve takes the time of so many lines and returns when the last of them leaves: never before those queued earlier.
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

// Drop forgets what waits for a session that has left. The time reserved for it is lost, as are the messages.
func (c *Channel) Drop(s *session) {
	kept := c.queue[:0]
	for _, queued := range c.queue {
		if queued.to == s {
			c.waitingLines -= queued.message.CostLines
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
	left := 0
	for left < len(c.queue) && c.queue[left].dueMs <= nowMs {
		queued := c.queue[left]
		left++
		lines += queued.message.CostLines
		c.deliver(nowMs, queued)
	}
	if left > 0 {
		c.queue = append(c.queue[:0], c.queue[left:]...)
		c.metrics.setWaiting(c.waitingLines, c.backlog)
	}
	return lines
}

// deliver hands a message to its stream. A stream that fails is closed.
func (c *Channel) deliver(nowMs float64, queued *queuedMessage) {
	message := queued.message
	c.waitingLines -= message.CostLines
	c.Sent += message.CostLines
	message.AtMs = queued.atMs
	message.AgeMs = nowMs - queued.atMs
	recent := queued.to.recentSends.add(nowMs, c.messageSpanMs)
	c.MaxMessages = max(c.MaxMessages, recent)
	c.metrics.messageSent(message, recent, c.messageLimit)
	if err := queued.to.stream.Send(message); err != nil {
		queued.to.stream.Close(err.Error())
	}
}

// Lines returns how many lines wait.
func (c *Channel) Lines() int { return c.waitingLines }

// sendTimes are when messages left to one proxy, in ms, oldest first.
type sendTimes []float64

// add notes a message, forgets those longer ago than the span, and returns how many are left.
func (t *sendTimes) add(nowMs, spanMs float64) int {
	within := (*t)[sort.SearchFloat64s(*t, nowMs-spanMs):]
	*t = append(within, nowMs)
	return len(*t)
}
