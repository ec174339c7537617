package intake

// sender is a joined proxy.
type sender struct {
	zone       int
	lastSeq    uint64
	clock      clockOffset
	tokens     float64
	tokensAtMs float64 // of the tokens
	offered    float64 // lines in this second
	skipped    int     // reports left out since the last that was taken
	accepted   int     // reports, all in all
}

type zone struct {
	senders int
	covered float64 // weighed span of all its senders' reports
}

// Join takes a sender in. Its clock and numbers begin anew.
func (a *Intake[L]) Join(nowMs float64, id, zoneOf int) bool {
	a.Leave(id)
	if a.terms.MostSenders > 0 && len(a.senders) >= a.terms.MostSenders {
		return false
	}
	a.senders[id] = &sender{zone: zoneOf, tokensAtMs: nowMs, tokens: a.quotas.initial(a.terms)}
	a.zone(zoneOf).senders++
	return true
}

// Leave forgets a sender and what waits of its demand.
func (a *Intake[L]) Leave(id int) {
	s := a.senders[id]
	if s == nil {
		return
	}
	a.zone(s.zone).senders--
	delete(a.senders, id)
	for key, d := range a.demandSums {
		if key.proxy == id {
			a.dequeue(d)
			delete(a.demandSums, key)
		}
	}
}

func (a *Intake[L]) zone(i int) *zone {
	if a.zones[i] == nil {
		a.zones[i] = &zone{}
	}
	return a.zones[i]
}
