package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"indigousher/internal/controller"
)

// event is an event, one line of the stream. Without a type or proxy it is a keepalive.
type event struct {
	Type   string `json:"type"` // "joined", "left" or "applied"
	Object struct {
		Node     *int     `json:"node"` // the proxy's number
		Locality string   `json:"locality"`
		Rate     float64  `json:"w"`       // requests per second it usually receives
		Cold     bool     `json:"cold"`    // it has just started
		Nonce    *int     `json:"nonce"`   // number of the acknowledged ack request
		Latency  *float64 `json:"latency"` // ms from the ack request to the ack
	} `json:"object"`
}

// handleLine parses a line of subscription i and posts it if it is news.
func (s *EventStream) handleLine(ctx context.Context, i int, text []byte) error {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		return fmt.Errorf("unreadable event: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions[i].lastReceived = time.Now()
	if e.Type == "" || e.Object.Node == nil {
		return nil // a keepalive
	}
	s.Counters.Events.Add(1)
	in := s.apply(&s.subscriptions[i], &e)
	if in == nil {
		return nil
	}
	return s.inbox.Post(ctx, in)
}

// apply updates the members by an event and returns the input for the controller, or nil if it is not news. The
// caller holds mu.
func (s *EventStream) apply(sub *subscription, e *event) controller.Input {
	switch e.Type {
	case "joined":
		return s.applyJoined(sub, e)
	case "left":
		return s.applyLeft(sub, *e.Object.Node)
	case "applied":
		return s.applyAck(e)
	}
	return nil
}

// applyJoined handles the announcement of a proxy, which has joined or, in a snapshot, is connected.
func (s *EventStream) applyJoined(sub *subscription, e *event) controller.Input {
	proxy := *e.Object.Node
	zone := e.Object.Locality
	cold := e.Object.Cold
	current := s.proxies[proxy]
	reconnected := current != nil && sub.mayHaveReconnected(proxy, current, cold)
	if sub.state == receivingSnapshot {
		sub.announced[proxy] = true
		sub.lastAnnounced = sub.lastReceived
	}
	sameZone := current != nil && current.zone == zone
	if sameZone && !reconnected {
		return nil
	}
	s.proxies[proxy] = &connectedProxy{zone: zone, announcedAt: sub.lastReceived}
	return controller.RelayProxyJoined{
		Proxy:   proxy,
		Zone:    zone,
		Rate:    e.Object.Rate,
		Fresh:   cold,
		Resumed: reconnected && sameZone && !cold,
	}
}

// mayHaveReconnected reports whether a known proxy, announced by a snapshot after a gap, may have reconnected in the
// gap: the gap was long enough, or the proxy itself says that it is cold. If the other subscription announced the
// proxy after this one opened, it is a member by that announcement and has not reconnected since: at a start both
// announce all proxies.
func (sub *subscription) mayHaveReconnected(proxy int, current *connectedProxy, cold bool) bool {
	if current.announcedAt.After(sub.openedAt) {
		return false
	}
	if sub.state != receivingSnapshot || !sub.afterGap || sub.announced[proxy] {
		return false
	}
	return sub.afterLongGap || cold
}

// applyLeft handles that a proxy has left, which the other subscription may have delivered before.
func (s *EventStream) applyLeft(sub *subscription, proxy int) controller.Input {
	delete(sub.announced, proxy)
	if s.proxies[proxy] == nil {
		return nil
	}
	delete(s.proxies, proxy)
	return controller.RelayProxyLeft{Proxy: proxy}
}

// applyAck handles that a proxy has applied all commands up to an ack request.
func (s *EventStream) applyAck(e *event) controller.Input {
	current := s.proxies[*e.Object.Node]
	if current == nil || e.Object.Nonce == nil || e.Object.Latency == nil || !current.recordAck(*e.Object.Nonce) {
		return nil
	}
	return controller.RelayAck{Proxy: *e.Object.Node, Mark: *e.Object.Nonce, TookMs: *e.Object.Latency}
}
