package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"indigousher/internal/pilot"
)

// event is one event, a line of a stream.
type event struct {
	Type   string `json:"type"`
	Object struct {
		Node     *int     `json:"node"`
		Locality string   `json:"locality"`
		Rate     float64  `json:"w"`
		Cold     bool     `json:"cold"`
		Nonce    *int     `json:"nonce"`
		Latency  *float64 `json:"latency"`
	} `json:"object"`
}

// handleLine takes one event in.
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

// apply returns what an event says that is new; nil: nothing.
func (s *Events) apply(l *subscription, e *event) pilot.Input {
	p := *e.Object.Node
	m := s.members[p]
	switch e.Type {
	case "joined":
		// Whoever the other stream has told since this one opened has not come back meanwhile: at a start both tell all.
		before := m != nil && !m.since.After(l.openedAt)
		again := before && l.standing != nil && l.afterGap && !l.standing[p] && (l.afterLongGap || e.Object.Cold)
		if l.standing != nil {
			l.standing[p], l.lastStanding = true, l.lastHeard
		}
		if m != nil && m.zone == e.Object.Locality && !again {
			return nil
		}
		s.members[p] = &member{zone: e.Object.Locality, since: l.lastHeard}
		return pilot.Relayed{Proxy: p, Zone: e.Object.Locality, Rate: e.Object.Rate, Fresh: e.Object.Cold,
			Stood: again && m.zone == e.Object.Locality && !e.Object.Cold}
	case "left":
		if l.standing != nil {
			delete(l.standing, p)
		}
		if m != nil {
			delete(s.members, p)
			return pilot.Unrelayed{Proxy: p}
		}
	case "applied":
		if m != nil && e.Object.Nonce != nil && e.Object.Latency != nil && m.firstAck(*e.Object.Nonce) {
			return pilot.RelayApplied{Proxy: p, Mark: *e.Object.Nonce, TookMs: *e.Object.Latency}
		}
	}
	return nil
}
