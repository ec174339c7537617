package relay

import "slices"

// maxQueuedCalls bounds the calls that wait; beyond it what is outdated goes at once.
const maxQueuedCalls = 64

// Gone drops what waits for a proxy that has left.
func (s *Orders) Gone(proxy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed = append(s.departed, proxy)
	for i, call := range s.queue {
		s.queue[i] = s.dropProxies(call, proxy)
	}
}

// dropProxies drops what names one of some proxies.
func (s *Orders) dropProxies(call []command, proxies ...int) []command {
	kept := slices.DeleteFunc(slices.Clone(call), func(o command) bool { return slices.Contains(proxies, o.proxy) })
	s.Counters.Superseded.Add(int64(len(call) - len(kept)))
	return kept
}

// mergeAll makes one sequence of all that waits, without what is outdated. It is done after a call that failed, so that
// what is said again never overtakes anything newer, and says no more than it must.
func (s *Orders) mergeAll() {
	all := slices.Concat(s.queue...)
	kept := merge(all)
	s.Counters.Superseded.Add(int64(len(all) - len(kept)))
	s.queue = splitCalls(kept)
}

// dequeue takes the oldest call out; joined, one of all that waits.
func (s *Orders) dequeue(joined bool) (call []command, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed = s.departed[:0]
	if joined {
		s.mergeAll()
	}
	for len(s.queue) > 0 {
		call, s.queue = s.queue[0], s.queue[1:]
		if len(call) > 0 {
			return call, s.address
		}
	}
	return nil, ""
}

// requeue puts a call, or what is left of it, before all others.
func (s *Orders) requeue(call []command, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append([][]command{s.dropProxies(call, s.departed...)}, s.queue...)
	if joined {
		s.mergeAll()
	}
}

// nextAckNumbers returns the marks that stand behind a call that sets none, as a part of a turn that was too long for one. To
// count the other part twice as well is too much, which the next answer shows; not to count this one would be too little.
func (s *Orders) nextAckNumbers() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.queue {
		if next := ackNumbers(call); len(next) > 0 {
			return next
		}
	}
	return nil
}
