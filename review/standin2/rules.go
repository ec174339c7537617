package main

import (
	"fmt"
	"time"
)

// socketSlackMs is what the limits of the rules are longer on sockets, and answeredSlackMs how long after the pilot's
// first answer they start.
const (
	socketSlackMs   = 300
	answeredSlackMs = 1000
)

// checkDrain checks that a joined proxy does not send to an endpoint that drains or is gone after the grace. The caller
// must hold mu.
func (w *world) checkDrain(p *proxy, s *server) {
	if !p.joined || s.toldAt == 0 || w.pilot.answeredAt == 0 {
		return
	}
	from := max(s.toldAt, p.since, w.pilot.answeredAt+answeredSlackMs)
	late := w.nowMs() - from
	if late > w.d.graceMs+socketSlackMs+w.slackSince(from) {
		w.breakRule("drain", s.name, "proxy %d sent to it %.0f ms after the pilot was told (joined at %.0f, told at %.0f)",
			p.number, late, p.since, s.toldAt)
	}
}

// checkCold checks that a cold endpoint is not sent more than its multiple by proxies that know of its start. The
// caller must hold mu.
func (w *world) checkCold(p *proxy, c class, s *server) {
	if s.sinceMs == 0 || w.warmth(s) >= 1 {
		return
	}
	now := w.nowMs()
	from := max(s.freshAt, p.since, w.pilot.answeredAt+answeredSlackMs)
	knowing := s.freshAt > 0 && p.joined && w.pilot.answeredAt > 0 && (p.knowsAt > s.freshAt ||
		now > from+w.d.graceMs+socketSlackMs+w.slackSince(from))
	s.sent = append(s.sent, sending{now, c.workMs, knowing})
	all, known := 0.0, 0.0
	for i := len(s.sent) - 1; i >= 0 && now-s.sent[i].atMs < w.d.fallMs; i-- {
		all += s.sent[i].workMs
		if s.sent[i].knowing {
			known += s.sent[i].workMs
		}
	}
	limit := w.d.fallMultiple * w.warmth(s) * s.capacity * w.d.fallMs / 1000
	if all > limit*1.1+2*c.workMs && known > all*2/3 {
		w.breakRule("failback", s.name, "%.0f ms of work in %.0f ms, %.0f from knowing proxies, limit %.0f", all, w.d.fallMs,
			known, limit)
	}
}

// watchBare checks every 50 ms that no joined proxy lacks a line, until the world ends.
func (w *world) watchBare(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.mu.Lock()
		for _, p := range w.proxies {
			for _, c := range w.d.classes {
				w.checkBare(p, c)
			}
		}
		w.mu.Unlock()
	}
}

// checkBare checks that a proxy has a line for a class. The caller must hold mu.
func (w *world) checkBare(p *proxy, c class) {
	now := w.nowMs()
	class := c.name
	if !p.joined || w.pilot.answeredAt == 0 || !w.warmListed(p.zone, c.ownZone) {
		delete(p.bareAt, class)
		return
	}
	for name := range p.use[class].lines {
		if p.pickable(class, name) {
			delete(p.bareAt, class)
			return
		}
	}
	if p.bareAt[class] == 0 {
		p.bareAt[class] = now
		w.log("proxy %d has no line for %s", p.number, class)
	}
	from := max(p.bareAt[class], w.pilot.answeredAt+answeredSlackMs)
	if now-from > w.d.emptyForMs+socketSlackMs+w.slackSince(from) {
		w.breakRule("lost", "", "proxy %d has had no line for %s for %.0f ms (joined at %.0f) while warm endpoints are listed",
			p.number, class, now-from, p.since)
	}
}

// warmListed reports whether the pilot was told of an endpoint, of one zone if own is set, that is active and warm. The
// caller must hold mu.
func (w *world) warmListed(zone string, own bool) bool {
	for _, s := range w.servers {
		if own && s.zone != zone {
			continue
		}
		if s.status == "active" && s.version <= w.agent.told && (s.sinceMs == 0 || w.nowMs()-s.startedMs >= w.d.coldMs) {
			return true
		}
	}
	return false
}

// hints tells of proxies whose state differs from what the relay holds, when nothing has happened for long. They break
// no rule by themselves. The caller must hold mu.
func (w *world) hints() {
	for _, p := range w.proxies {
		for _, c := range w.d.classes {
			number, bound := p.bound[c.name]
			switch {
			case !p.joined:
			case !bound:
				fmt.Printf("hint: proxy %d is bound to no table for %s, joined at %.0f\n", p.number, c.name, p.since)
			default:
				for name, weight := range w.relay.table(number).lines {
					if s := w.servers[name]; p.use[c.name].lines[name] != weight || s.status == "active" && !p.pickable(c.name, name) {
						fmt.Printf("hint: proxy %d table %d %s %s: weight %.3f, has %.3f, out %v %v\n", p.number, number, name, s.status,
							weight, p.use[c.name].lines[name], p.out[name], p.earlier[name])
					}
					if w.servers[name].status != "active" {
						fmt.Printf("hint: table %d holds %s, which is %s\n", number, name, w.servers[name].status)
					}
				}
			}
		}
	}
}
