package relay

import (
	"context"
	"slices"
	"sync"
)

// maxQueuedCalls is the number of queued calls above which all of them are merged, which drops superseded commands.
const maxQueuedCalls = 64

// callQueue holds the calls that are to be sent and the address to send them to. The controller enqueues commands. One
// worker, the goroutine of Sender.Run, dequeues calls.
//
// Commands are dequeued in the order in which they were enqueued, except for dropped ones. A call that is put back is
// placed before all newer ones.
type callQueue struct {
	counters *Counters     // commands dropped by the queue are added to Superseded
	wake     chan struct{} // capacity 1; holds a value if commands were enqueued since the last wait

	mu          sync.Mutex // guards the fields below
	address     string     // address of the relay for the next call
	calls       []call     // oldest first
	leftProxies []int      // proxies that disconnected since the last dequeue
}

// newCallQueue returns an empty queue of calls to the relay at address.
func newCallQueue(address string, counters *Counters) callQueue {
	return callQueue{counters: counters, wake: make(chan struct{}, 1), address: address}
}

// enqueue appends commands, as one call or, if they exceed maxCallBytes, as several, and wakes the worker.
func (q *callQueue) enqueue(commands []command) {
	q.mu.Lock()
	q.calls = append(q.calls, splitCalls(commands)...)
	if len(q.calls) > maxQueuedCalls {
		q.mergeAll()
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// wait blocks until commands are enqueued or ctx is cancelled. It returns immediately if commands were enqueued since
// it last returned.
func (q *callQueue) wait(ctx context.Context) {
	select {
	case <-q.wake:
	case <-ctx.Done():
	}
}

// dequeue removes and returns the oldest call, with the address to send it to. If mergeFirst is true, it merges all
// queued calls before. It returns nil if the queue is empty.
func (q *callQueue) dequeue(mergeFirst bool) (next call, address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leftProxies = q.leftProxies[:0]
	if mergeFirst {
		q.mergeAll()
	}
	for len(q.calls) > 0 {
		next = q.calls[0]
		q.calls = q.calls[1:]
		if len(next) > 0 { // skip a call whose commands were all dropped by dropProxy
			return next, q.address
		}
	}
	return nil, ""
}

// requeue puts a call, or the remaining commands of one, back at the front of the queue.
func (q *callQueue) requeue(c call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushFront(c)
}

// requeueMerged puts a call back at the front of the queue and merges all queued calls.
func (q *callQueue) requeueMerged(c call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushFront(c)
	q.mergeAll()
}

// pushFront inserts a call at the front of the queue, without the commands for proxies that disconnected while it was
// in flight. The caller holds mu.
func (q *callQueue) pushFront(c call) {
	q.calls = append([]call{q.dropProxies(c, q.leftProxies...)}, q.calls...)
}

// mergeAll merges all queued calls, which drops superseded commands. The caller holds mu.
func (q *callQueue) mergeAll() {
	all := slices.Concat(q.calls...)
	kept := merge(all)
	q.counters.Superseded.Add(int64(len(all) - len(kept)))
	q.calls = splitCalls(kept)
}

// dropProxy drops the queued commands for a disconnected proxy. If the call in flight is put back into the queue later,
// its commands for the proxy are dropped too.
func (q *callQueue) dropProxy(proxy int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leftProxies = append(q.leftProxies, proxy)
	for i, c := range q.calls {
		q.calls[i] = q.dropProxies(c, proxy)
	}
}

// dropProxies returns a copy of a call without the commands that name one of the proxies. The caller holds mu.
func (q *callQueue) dropProxies(c call, proxies ...int) call {
	kept := slices.DeleteFunc(slices.Clone(c), func(c command) bool { return slices.Contains(proxies, c.proxy) })
	q.counters.Superseded.Add(int64(len(c) - len(kept)))
	return kept
}

// nextAckNumbers returns the numbers of the ack requests in the first queued call that has any, or nil if none has.
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

// setAddress sets the address for calls that are dequeued from now on.
func (q *callQueue) setAddress(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.address = address
}

// currentAddress returns the address for the next call.
func (q *callQueue) currentAddress() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.address
}
