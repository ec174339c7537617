package record

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/pilot"
)

// Fingerprint tells modules apart by what they do: the digest of what one orders through a minute of trouble that is the
// same each time.
func Fingerprint(make func(seed int64, terms map[string]any) pilot.Decider) string {
	terms := map[string]any{"req_kinds": []any{map[string]any{"name": "a", "payoff": 1.0}, map[string]any{"name": "b", "payoff": 5.0}},
		"fields": []any{"util", "rate"}, "admission": "share", "instances": 2.0, "proxy_count": 6.0, "ejects_after": 5.0}
	d := make(7, terms)
	var sum uint64
	for step := range 240 {
		now := float64(step) * 250
		var notes []brain.Note
		switch {
		case step == 0:
			var l brain.Listing
			for e := range 9 {
				l.Entries = append(l.Entries, brain.Entry{Endpoint: e, Zone: e % 3, Weight: float64(1 + e%2)})
			}
			l.Mode = brain.Whole
			notes = append(notes, l)
			for p := range 4 {
				notes = append(notes, brain.Joined{Proxy: p, Zone: p % 3, Rate: 20})
			}
		case step%4 == 0:
			notes = append(notes, brain.Alarm{Name: "gather"})
		case step%4 == 1:
			for e := range 9 {
				failed := 0
				if e == 2 && step > 60 && step < 120 {
					failed = 9
				}
				notes = append(notes, brain.Met{Endpoint: e, Zone: e % 3, Tries: 9, Failed: failed, MeanMs: 30, SpanMs: 1000,
					Load: brain.Load{"util": 0.3 + float64((step+e)%7)/8, "rate": 20}})
			}
		case step == 130:
			notes = append(notes, brain.Listing{Entries: []brain.Entry{{Endpoint: 4, Zone: 1, Weight: 1, Phase: brain.Draining},
				{Endpoint: 9, Zone: 0, Weight: 2, Started: now}}})
		}
		sum = sum*1099511628211 + Digest(d.Handle(now, notes))
	}
	return fmt.Sprintf("%016x", sum)
}
