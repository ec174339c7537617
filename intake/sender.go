package intake

// sender is a joined proxy.
type sender struct {
	zone    int
	seq     uint64
	clock   offset
	tokens  float64
	at      float64 // of the tokens
	offered float64 // lines in this second
	skipped int     // reports left out since the last that was taken
	taken   int     // reports, all in all
}

type zone struct {
	senders int
	covered float64 // weighed span of all its senders' reports
}

// Join takes a sender in. Its clock and numbers begin anew.
func (in *Intake[L]) Join(nowMs float64, id, zoneOf int) bool {
	in.Leave(id)
	if in.terms.MostSenders > 0 && len(in.senders) >= in.terms.MostSenders {
		return false
	}
	in.senders[id] = &sender{zone: zoneOf, at: nowMs, tokens: in.share.start(in.terms)}
	in.zone(zoneOf).senders++
	return true
}

// Leave forgets a sender and what waits of its demand.
func (in *Intake[L]) Leave(id int) {
	s := in.senders[id]
	if s == nil {
		return
	}
	in.zone(s.zone).senders--
	delete(in.senders, id)
	for key, d := range in.demands {
		if key.proxy == id {
			in.forget(d)
			delete(in.demands, key)
		}
	}
}

func (in *Intake[L]) zone(i int) *zone {
	if in.zones[i] == nil {
		in.zones[i] = &zone{}
	}
	return in.zones[i]
}
