package telemetry

// sender is the state of one joined proxy. It belongs to the aggregator.
type sender struct {
	zone    int
	lastSeq uint64 // sequence number of its newest report; 0: none yet
	clock   clockOffset

	tokens     float64 // report lines left in its token bucket, as of tokensAtMs
	tokensAtMs float64
	offered    float64 // lines that it sent since the last rebalance, accepted or not
	skipped    int     // reports skipped since the last that was accepted
	accepted   int     // reports accepted in all
}

// zone is the state that a zone's senders share.
type zone struct {
	senders   int
	coveredMs float64 // time that the reports of all its senders covered, in ms, weighted by age
}

// Join admits a sender. Its clock offset and sequence numbers start over. It returns false, and the sender stays
// unknown, when the limit of senders is reached.
func (a *Aggregator[L]) Join(nowMs float64, id, zoneID int) bool {
	a.Leave(id)
	if a.options.MaxSenders > 0 && len(a.senders) >= a.options.MaxSenders {
		return false
	}
	a.senders[id] = &sender{zone: zoneID, tokensAtMs: nowMs, tokens: a.quotas.initial()}
	a.zone(zoneID).senders++
	return true
}

// Leave removes a sender and the pending sums of its requests.
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

// zone returns the state of a zone and creates it on first use.
func (a *Aggregator[L]) zone(id int) *zone {
	if a.zones[id] == nil {
		a.zones[id] = &zone{}
	}
	return a.zones[id]
}
