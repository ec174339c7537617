package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"indigousher/internal/pilot"
)

// event is one event, a line of the stream. An event without a type or a proxy is a sign of life.
type event struct {
	Type   string `json:"type"` // "joined", "left" or "applied"
	Object struct {
		Node     *int     `json:"node"` // the proxy's number
		Locality string   `json:"locality"`
		Rate     float64  `json:"w"`       // requests a second that usually come to it
		Cold     bool     `json:"cold"`    // it started anew
		Nonce    *int     `json:"nonce"`   // the number of the ack request that it answers
		Latency  *float64 `json:"latency"` // ms from the request to its answer
	} `json:"object"`
}

// handleLine parses one line of a subscription and posts what it says that is new.
func (s *Events) handleLine(ctx context.Context, i int, text []byte) error {
	var e event
	if err := json.Unmarshal(text, &e); err != nil {
		return fmt.Errorf("unreadable event: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions[i].lastHeard = time.Now()
	if e.Type == "" || e.Object.Node == nil {
		return nil // a sign of life
	}
	s.Counters.Events.Add(1)
	in := s.apply(&s.subscriptions[i], &e)
	if in == nil {
		return nil
	}
	return s.inbox.Post(ctx, in)
}

// apply brings the members up to date with an event and returns what it says that is new; nil: nothing. The caller
// holds the lock.
func (s *Events) apply(sub *subscription, e *event) pilot.Input {
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

// applyJoined takes in that a proxy has joined, or that it stands, which the relay tells in the same words.
func (s *Events) applyJoined(sub *subscription, e *event) pilot.Input {
	proxy := *e.Object.Node
	zone := e.Object.Locality
	cold := e.Object.Cold
	known := s.members[proxy]
	rejoined := known != nil && sub.mayHaveRejoined(proxy, known, cold)
	if sub.state == receivingSnapshot {
		sub.announced[proxy] = true
		sub.lastAnnounced = sub.lastHeard
	}
	sameZone := known != nil && known.zone == zone
	if sameZone && !rejoined {
		return nil
	}
	s.members[proxy] = &member{zone: zone, since: sub.lastHeard}
	return pilot.Relayed{
		Proxy: proxy,
		Zone:  zone,
		Rate:  e.Object.Rate,
		Fresh: cold,
		Stood: rejoined && sameZone && !cold,
	}
}

// mayHaveRejoined returns whether a known proxy that a snapshot tells for the first time may have left and come back
// in the gap before it: the gap was long enough, or it says itself that it started anew. One that the other
// subscription has told since this one opened has not come back meanwhile: at a start both tell all.
func (sub *subscription) mayHaveRejoined(proxy int, known *member, cold bool) bool {
	if known.since.After(sub.openedAt) {
		return false
	}
	if sub.state != receivingSnapshot || !sub.afterGap || sub.announced[proxy] {
		return false
	}
	return sub.afterLongGap || cold
}

// applyLeft takes in that a proxy has left, which the other subscription may have told before.
func (s *Events) applyLeft(sub *subscription, proxy int) pilot.Input {
	delete(sub.announced, proxy)
	if s.members[proxy] == nil {
		return nil
	}
	delete(s.members, proxy)
	return pilot.Unrelayed{Proxy: proxy}
}

// applyAck takes in that a proxy has applied everything up to an ack request.
func (s *Events) applyAck(e *event) pilot.Input {
	known := s.members[*e.Object.Node]
	if known == nil || e.Object.Nonce == nil || e.Object.Latency == nil || !known.recordAck(*e.Object.Nonce) {
		return nil
	}
	return pilot.RelayApplied{Proxy: *e.Object.Node, Mark: *e.Object.Nonce, TookMs: *e.Object.Latency}
}
