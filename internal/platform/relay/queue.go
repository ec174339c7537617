package relay

import (
	"context"
	"slices"
	"sync"
)

// maxQueuedCalls bounds the queue: beyond it the calls are merged, which drops superseded commands.
const maxQueuedCalls = 64

// callQueue holds the calls to send, oldest first, and the address to send them to. The controller enqueues, one
// worker dequeues.
//
// Invariants: commands are dequeued in the order in which they were enqueued, except for dropped ones; a requeued
// call is placed before everything newer.
type callQueue struct {
	counters *Counters     // Superseded counts the dropped commands
	wake     chan struct{} // capacity 1; holds a token if calls were enqueued since the last wait

	mu          sync.Mutex // guards the fields below
	address     string
	calls       []call
	leftProxies []int // proxies that disconnected since the call in flight was dequeued
}

func newCallQueue(address string, counters *Counters) callQueue {
	return callQueue{counters: counters, wake: make(chan struct{}, 1), address: address}
}

// enqueue appends commands, as one call or several, and wakes the worker.
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

// wait blocks until calls have been enqueued since it last returned, or ctx ends.
func (q *callQueue) wait(ctx context.Context) {
	select {
	case <-q.wake:
	case <-ctx.Done():
	}
}

// dequeue removes and returns the oldest call and the address to send it to. With merged, all calls are merged first.
// It returns nil if the queue is empty.
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
		if len(next) > 0 { // its commands may have been dropped with their proxy
			return next, q.address
		}
	}
	return nil, ""
}

// requeue puts a call, or the rest of one, back at the front.
func (q *callQueue) requeue(c call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushFront(c)
}

// requeueMerged puts a call back at the front and merges the whole queue.
func (q *callQueue) requeueMerged(c call) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pushFront(c)
	q.mergeAll()
}

// pushFront inserts a call at the front, without the commands for proxies that disconnected while it was in flight. The
// caller holds mu.
func (q *callQueue) pushFront(c call) {
	q.calls = append([]call{q.dropProxies(c, q.leftProxies...)}, q.calls...)
}

// mergeAll merges all queued calls and drops superseded commands. The caller holds mu.
func (q *callQueue) mergeAll() {
	all := slices.Concat(q.calls...)
	kept := merge(all)
	q.counters.Superseded.Add(int64(len(all) - len(kept)))
	q.calls = splitCalls(kept)
}

// dropProxy drops the commands for a disconnected proxy, including those of the call in flight if it is requeued.
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

// nextAckNumbers returns the ack numbers of the first queued call that has any.
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
