package relay

import (
	"fmt"
	"time"
)

// message is what one call brings to one proxy.
type message struct {
	proxy   int
	changes []change
	lines   int // that it takes in the channel
}

// change is one line of a message.
type change struct {
	clear      bool // of all lines; the proxy uses a table from then on
	endpoint   string
	weight     *float64 // nil: not a weight
	excluded   *bool    // nil: not an exclusion
	ackRequest int      // 0: none
}

func (m *message) add(c change) {
	m.changes = append(m.changes, c)
	m.lines++
}

// send puts a message into the channel: it leaves after all before it, and is applied one transit later. The caller
// holds mu.
func (r *Relay) send(m *message) {
	r.waiting += m.lines
	r.mostWaiting = max(r.mostWaiting, r.waiting)
	now := time.Now()
	if r.channelFreeAt.Before(now) {
		r.channelFreeAt = now
	}
	r.channelFreeAt = r.channelFreeAt.Add(r.sendingTime(m))
	leaves := r.channelFreeAt.Sub(now)
	time.AfterFunc(leaves, func() { r.left(m) })
	time.AfterFunc(leaves+r.config.Transit, func() { r.arrived(m) })
}

// sendingTime returns how long a message takes to leave the channel.
func (r *Relay) sendingTime(m *message) time.Duration {
	return time.Duration(float64(m.lines) / r.config.LinesPerSecond * float64(time.Second))
}

// left takes a message out of the channel.
func (r *Relay) left(m *message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting -= m.lines
}

// arrived has a proxy apply a message and acknowledge it where asked to.
func (r *Relay) arrived(m *message) {
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
