package intake

// sender is the state of one joined proxy. The aggregator owns it.
type sender struct {
	zone    int
	lastSeq uint64 // number of its newest report
	clock   clockOffset

	tokens     float64 // report lines that it may bring, as of tokensAtMs
	tokensAtMs float64
	offered    float64 // lines that it brought since quotas were last set, taken or not
	skipped    int     // reports left out since the last that was taken
	accepted   int     // reports taken, all in all
}

// zone is what the reports of a zone's senders have in common.
type zone struct {
	senders int
	covered float64 // weighed time that the reports of all its senders covered, ms
}

// Join admits a sender. Its clock and report numbers begin anew. It returns false, and the sender stays unknown, if as
// many as may are joined.
func (a *Intake[L]) Join(nowMs float64, id, zoneID int) bool {
	a.Leave(id)
	if a.terms.MostSenders > 0 && len(a.senders) >= a.terms.MostSenders {
		return false
	}
	a.senders[id] = &sender{zone: zoneID, tokensAtMs: nowMs, tokens: a.quotas.initial()}
	a.zone(zoneID).senders++
	return true
}

// Leave forgets a sender and what is pending of its requests.
func (a *Intake[L]) Leave(id int) {
	s := a.senders[id]
	if s == nil {
		return
	}
	a.zone(s.zone).senders--
	delete(a.senders, id)
	for key, demand := range a.demandSums {
		if key.proxy == id {
			a.dequeue(demand)
			delete(a.demandSums, key)
		}
	}
}

// zone returns the state of a zone, which is made when it is first asked for.
func (a *Intake[L]) zone(id int) *zone {
	if a.zones[id] == nil {
		a.zones[id] = &zone{}
	}
	return a.zones[id]
}
