package controller

import (
	"math"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"indigousher/internal/wire"
)

const (
	// pacingBurst is the burst of the rate limiter, in lines. Larger messages reserve their time in chunks of this
	// size.
	pacingBurst = 16
	// queueLimitFactor times the backlog is the maximum number of lines in the queue. A message that exceeds it is
	// dropped, and its stream is closed.
	queueLimitFactor = 8
)

// closeChannelFull is the reason given when a stream is closed because its message no longer fits into the queue.
const closeChannelFull = "channel overfull"

// queuedMessage is a message that waits in the channel. Times are in ms on the core's clock.
type queuedMessage struct {
	recipient  *session
	message    *wire.Commands
	enqueuedMs float64 // when the message was added
	dueMs      float64 // when the message may be sent
}

// Channel is the rate-limited FIFO queue of messages to proxies. Its rate is counted in lines, including each message's
// overhead. The decider has its own model of the queue and keeps within the limits; the channel measures whether it
// does. A Channel is not safe for concurrent use: only the goroutine that drives the Core may use it.
type Channel struct {
	limiter      *rate.Limiter
	epoch        time.Time // time 0 of the core's clock, for the limiter
	queue        []*queuedMessage
	waitingLines int     // sum over all queued messages
	lastDueMs    float64 // when the last queued message may be sent

	// Limits from the settings; 0 means no limit. They are only used for metrics and warnings, except that more than
	// queueLimitFactor times the backlog closes a stream.
	backlog         float64 // maximum number of waiting lines
	messageLimit    int     // maximum number of messages to one proxy within messageWindowMs
	messageWindowMs float64

	metrics *Metrics

	// MaxLines is the highest number of waiting lines so far.
	MaxLines int
	// MaxMessages is the highest number of messages sent to one proxy within messageWindowMs so far.
	MaxMessages int
	// LinesSent is the total number of lines sent.
	LinesSent int
}

// NewChannel returns an empty channel. linesPerS is the rate limit in lines per second; 0 or less means unlimited.
// backlog is the queue limit in lines, and messageLimit the maximum number of messages to one proxy within
// messageWindowMs; 0 means no limit. m may be nil.
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

// Reconfigure applies the changed limits among the given decider settings. Other settings are ignored.
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

// Enqueue adds a message to the queue. If the message would exceed the hard limit of the queue, the proxy's stream is
// closed instead. The proxy reconnects and lists the tables that it holds, and the decider gets an event for the
// disconnect and for the new join.
func (c *Channel) Enqueue(nowMs float64, recipient *session, m *wire.Commands) {
	if c.backlog > 0 && float64(c.waitingLines+m.CostLines) > queueLimitFactor*c.backlog {
		c.metrics.streamClosed(closeChannelFull)
		recipient.stream.Close(closeChannelFull)
		return
	}
	dueMs := c.reserve(nowMs, m.CostLines)
	c.queue = append(c.queue, &queuedMessage{recipient: recipient, message: m, enqueuedMs: nowMs, dueMs: dueMs})
	c.waitingLines += m.CostLines
	c.MaxLines = max(c.MaxLines, c.waitingLines)
	c.metrics.setWaiting(c.waitingLines, c.backlog)
}

// reserve reserves time for a number of lines at the rate limiter and returns when the last of them may be sent, in ms.
// The result is never earlier than that of an earlier call, so messages keep their order.
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

// Drop removes the queued messages of a session that has ended. The time reserved for them at the rate limiter is not
// released.
func (c *Channel) Drop(s *session) {
	kept := c.queue[:0]
	for _, queued := range c.queue {
		if queued.recipient == s {
			c.waitingLines -= queued.message.CostLines
			continue
		}
		kept = append(kept, queued)
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	c.metrics.setWaiting(c.waitingLines, c.backlog)
}

// Due returns when the next message may be sent, in ms, or +Inf if the queue is empty.
func (c *Channel) Due() float64 {
	if len(c.queue) == 0 {
		return math.Inf(1)
	}
	return c.queue[0].dueMs
}

// Send passes all messages that are due to their streams and returns the number of lines in them.
func (c *Channel) Send(nowMs float64) (lines int) {
	sent := 0
	for sent < len(c.queue) && c.queue[sent].dueMs <= nowMs {
		queued := c.queue[sent]
		sent++
		lines += queued.message.CostLines
		c.deliver(nowMs, queued)
	}
	if sent > 0 {
		c.queue = append(c.queue[:0], c.queue[sent:]...)
		c.metrics.setWaiting(c.waitingLines, c.backlog)
	}
	return lines
}

// deliver passes a message to its stream and updates the statistics. If sending fails, the stream is closed.
func (c *Channel) deliver(nowMs float64, queued *queuedMessage) {
	message := queued.message
	c.waitingLines -= message.CostLines
	c.LinesSent += message.CostLines
	message.AtMs = queued.enqueuedMs
	message.AgeMs = nowMs - queued.enqueuedMs
	recent := queued.recipient.recentSends.add(nowMs, c.messageWindowMs)
	c.MaxMessages = max(c.MaxMessages, recent)
	c.metrics.messageSent(message, recent, c.messageLimit)
	if err := queued.recipient.stream.Send(message); err != nil {
		queued.recipient.stream.Close(err.Error())
	}
}

// Lines returns the number of lines that wait in the queue, including the messages' overhead.
func (c *Channel) Lines() int { return c.waitingLines }

// sendTimes holds the times at which messages were sent to one proxy, in ms, oldest first.
type sendTimes []float64

// add records a message, removes those older than windowMs, and returns how many messages remain.
func (t *sendTimes) add(nowMs, windowMs float64) int {
	recent := (*t)[sort.SearchFloat64s(*t, nowMs-windowMs):]
	*t = append(recent, nowMs)
	return len(*t)
}
