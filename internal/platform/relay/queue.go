package relay

import (
	"context"
	"slices"
	"sync"
)

// maxQueuedCalls bounds the calls that wait: beyond it they are merged at once, without what is superseded.
const maxQueuedCalls = 64

// callQueue holds the calls that wait, oldest first, and the address that they go to. The controller adds, one worker
// takes out. Invariants: commands leave in the order in which they came, but for those dropped; nothing that is put
// back stands behind anything newer.
type callQueue struct {
	counters *Counters     // of what is dropped as superseded
	wake     chan struct{} // holds a token when something came since the worker last waited

	mu       sync.Mutex // guards what follows
	address  string
	calls    []call
	departed []int // proxies that have left since the call in flight was taken out
}

func newCallQueue(address string, counters *Counters) callQueue {
	return callQueue{counters: counters, wake: make(chan struct{}, 1), address: address}
}

// enqueue adds commands behind all others and wakes the worker.
func (q *callQueue) enqueue(commands []command) {
	q.mu.Lock()
	q.calls = append(q.calls, splitCalls(commands)...)
	if len(q.calls) > maxQueuedCalls {
		q.mergeAll()
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // it is woken already
	}
}

// wait blocks until something has come since it last returned, or ctx ends.
func (q *callQueue) wait(ctx context.Context) {
	select {
	case <-q.wake:
	case <-ctx.Done():
	}
}

// dequeue takes out the oldest call and returns it with the address that it goes to; merged, one of all that waits. It
// returns nil where nothing waits.
func (q *callQueue) dequeue(merged bool) (next call, address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.departed = q.departed[:0]
	if merged {
		q.mergeAll()
	}
	for len(q.calls) > 0 {
		next = q.calls[0]
		q.calls = q.calls[1:]
		if len(next) > 0 { // not emptied by a proxy that has left
			return next, q.address
		}
	}
	return nil, ""
}

// requeue puts back a call, or what is left of it, before all others.
func (q *callQueue) requeue(c call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushFront(c)
}

// requeueMerged puts back a call before all others and merges it with them.
func (q *callQueue) requeueMerged(c call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushFront(c)
	q.mergeAll()
}

// pushFront puts a call first, without what names a proxy that has left meanwhile. The caller holds the lock.
func (q *callQueue) pushFront(c call) {
	q.calls = append([]call{q.dropProxies(c, q.departed...)}, q.calls...)
}

// mergeAll makes one sequence of all that waits, without what is superseded. The caller holds the lock.
func (q *callQueue) mergeAll() {
	all := slices.Concat(q.calls...)
	kept := merge(all)
	q.counters.Superseded.Add(int64(len(all) - len(kept)))
	q.calls = splitCalls(kept)
}

// dropProxy drops what names a proxy that has left, also of the call in flight, should it be put back.
func (q *callQueue) dropProxy(proxy int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.departed = append(q.departed, proxy)
	for i, c := range q.calls {
		q.calls[i] = q.dropProxies(c, proxy)
	}
}

// dropProxies returns a copy of a call without the commands that name one of some proxies.
func (q *callQueue) dropProxies(c call, proxies ...int) call {
	kept := slices.DeleteFunc(slices.Clone(c), func(c command) bool { return slices.Contains(proxies, c.proxy) })
	q.counters.Superseded.Add(int64(len(c) - len(kept)))
	return kept
}

// nextAckNumbers returns the ack requests of the first call that has any.
func (q *callQueue) nextAckNumbers() []int {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range q.calls {
		if numbers := c.ackNumbers(); len(numbers) > 0 {
			return numbers
		}
	}
	return nil
}

func (q *callQueue) setAddress(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.address = address
}

func (q *callQueue) currentAddress() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.address
}
