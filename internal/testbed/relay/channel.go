package relay

import (
	"fmt"
	"time"
)

// message holds the changes that one call causes for one proxy.
type message struct {
	proxy   int // number of the proxy
	changes []change
	lines   int // size in the channel, in lines, including the overhead of the message
}

// change is one line of a message. At most one kind of change is set.
type change struct {
	clear      bool     // remove all lines and stop using the static table
	endpoint   string   // endpoint that weight or excluded applies to
	weight     *float64 // new weight; nil if the change does not set a weight
	excluded   *bool    // whether the endpoint is excluded; nil if the change does not set this
	ackRequest int      // ticket of an ack request; 0 if the change is none
}

func (m *message) add(c change) {
	m.changes = append(m.changes, c)
	m.lines++
}

// send queues a message in the channel. The message leaves the channel after all earlier messages, and the proxy
// applies it after a further Config.Transit. The caller must hold mu.
func (r *Relay) send(m *message) {
	r.waiting += m.lines
	r.maxWaiting = max(r.maxWaiting, r.waiting)
	now := time.Now()
	if r.channelFreeAt.Before(now) {
		r.channelFreeAt = now
	}
	r.channelFreeAt = r.channelFreeAt.Add(r.sendingTime(m))
	leaves := r.channelFreeAt.Sub(now)
	time.AfterFunc(leaves, func() { r.messageSent(m) })
	time.AfterFunc(leaves+r.config.Transit, func() { r.applyMessage(m) })
}

// sendingTime returns how long the channel takes to send a message, at Config.LinesPerSecond.
func (r *Relay) sendingTime(m *message) time.Duration {
	return time.Duration(float64(m.lines) / r.config.LinesPerSecond * float64(time.Second))
}

// messageSent removes the lines of a sent message from the count of waiting lines.
func (r *Relay) messageSent(m *message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting -= m.lines
}

// applyMessage applies a message to the state of its proxy and publishes the requested acks.
func (r *Relay) applyMessage(m *message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.proxies[m.proxy]
	for _, c := range m.changes {
		switch {
		case c.clear:
			clear(p.lines)
			p.assigned = true
		case c.weight != nil:
			p.lines[c.endpoint] = *c.weight
		case c.excluded != nil:
			p.excluded[c.endpoint] = *c.excluded
		case c.ackRequest != 0:
			r.publish(fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":%d}}`, m.proxy, c.ackRequest,
				r.config.Transit.Milliseconds()))
		}
	}
}
