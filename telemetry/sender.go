package telemetry

// sender is the state that the aggregator keeps for a proxy that has joined.
type sender struct {
	zone    int
	lastSeq uint64 // sequence number of the newest report; 0: no report yet
	clock   clockOffset

	tokens     float64 // tokens in the bucket at tokensAtMs; one token per report line
	tokensAtMs float64
	offered    float64 // lines sent since the last call of Rebalance, accepted or not
	skipped    int     // reports skipped since the last accepted report
	accepted   int     // number of accepted reports since the sender joined
}

// zone is the state that the aggregator keeps for all senders of a zone together.
type zone struct {
	senders   int
	coveredMs float64 // total time covered by the reports of all senders, weighted by age
}

// Join adds a sender, or resets its state if it is known. It returns false without adding the sender if
// Options.MaxSenders have joined.
func (a *Aggregator[L]) Join(nowMs float64, id, zoneID int) bool {
	a.Leave(id)
	if a.options.MaxSenders > 0 && len(a.senders) >= a.options.MaxSenders {
		return false
	}
	a.senders[id] = &sender{zone: zoneID, tokensAtMs: nowMs, tokens: a.quotas.initial()}
	a.zone(zoneID).senders++
	return true
}

// Leave removes a sender and the sums of its requests. It does nothing for an unknown sender.
func (a *Aggregator[L]) Leave(id int) {
	s := a.senders[id]
	if s == nil {
		return
	}
	a.zone(s.zone).senders--
	delete(a.senders, id)
	for key, demand := range a.requestSums {
		if key.proxy == id {
			a.dequeue(demand)
			delete(a.requestSums, key)
		}
	}
}

// zone returns the state of a zone, which it creates on first use.
func (a *Aggregator[L]) zone(id int) *zone {
	if a.zones[id] == nil {
		a.zones[id] = &zone{}
	}
	return a.zones[id]
}
