package relay

import "slices"

// mostQueue bounds the calls that wait; beyond it what is outdated goes at once.
const mostQueue = 64

// Gone drops what waits for a proxy that has left.
func (r *Orders) Gone(proxy int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = append(r.left, proxy)
	for i, call := range r.queue {
		r.queue[i] = r.without(call, proxy)
	}
}

// without drops what names one of some proxies.
func (r *Orders) without(call []op, proxies ...int) []op {
	kept := slices.DeleteFunc(slices.Clone(call), func(o op) bool { return slices.Contains(proxies, o.proxy) })
	r.Counters.Outdated.Add(int64(len(call) - len(kept)))
	return kept
}

// join makes one sequence of all that waits, without what is outdated. It is done after a call that failed, so that
// what is said again never overtakes anything newer, and says no more than it must.
func (r *Orders) join() {
	all := slices.Concat(r.queue...)
	kept := fresh(all)
	r.Counters.Outdated.Add(int64(len(all) - len(kept)))
	r.queue = split(kept)
}

// next takes the oldest call out; joined, one of all that waits.
func (r *Orders) next(joined bool) (call []op, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = r.left[:0]
	if joined {
		r.join()
	}
	for len(r.queue) > 0 {
		call, r.queue = r.queue[0], r.queue[1:]
		if len(call) > 0 {
			return call, r.address
		}
	}
	return nil, ""
}

// back puts a call, or what is left of it, before all others.
func (r *Orders) back(call []op, joined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append([][]op{r.without(call, r.left...)}, r.queue...)
	if joined {
		r.join()
	}
}

// nextMarks returns the marks that stand behind a call that sets none, as a part of a turn that was too long for one. To
// count the other part twice as well is too much, which the next answer shows; not to count this one would be too little.
func (r *Orders) nextMarks() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, call := range r.queue {
		if next := marks(call); len(next) > 0 {
			return next
		}
	}
	return nil
}
