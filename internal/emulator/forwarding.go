package emulator

import (
	"cmp"
	"maps"
	"slices"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

const (
	// dialTimeoutMs is the time in ms that a proxy waits for a connection to an endpoint.
	dialTimeoutMs = 250
	// connectOneWayTrips is the number of one-way network delays that the opening of a connection adds to the first
	// request.
	connectOneWayTrips = 2
	// deadlineToleranceMs is the remaining time in ms that is treated as 0. Floating-point rounding may leave such a
	// remainder when a deadline has been reached.
	deadlineToleranceMs = 1e-6
)

// Reasons for which a proxy rejects a request, as stored in the Text field of Refuse events.
const (
	rejectedByAdmission  = "level"
	rejectedWithoutRoute = "no line"
)

// proxyRequest is the state of a request that a proxy forwards, over all its attempts.
type proxyRequest struct {
	process    *proxyProcess
	request    *wire.Request
	class      int      // index of the request class
	deadline   float64  // ms
	tried      []string // endpoints of the attempts so far, in order
	mayHaveRun bool     // an attempt may have had an effect; false: no attempt reached the application code
	answer     func(*wire.Response)
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request   *proxyRequest
	endpoint  string
	startedAt float64 // ms
	ended     bool
}

// connection is an open connection of a proxy to one endpoint.
type connection struct {
	process  *endpointProcess  // process that accepted the connection
	attempts map[*attempt]bool // attempts in flight
}

// handle forwards a request and answers it within a limit in ms. A request that arrives while the proxy applies a
// message is delayed until the message has been applied. The answer is nil if the proxy is not running.
func (p *emulatedProxy) handle(request *wire.Request, limitMs float64, answer func(*wire.Response)) {
	process := p.process
	if process == nil {
		answer(nil)
		return
	}
	if process.busyUntil > p.w.now {
		p.w.At(process.busyUntil, func() { p.handle(request, limitMs-(process.busyUntil-p.w.now), answer) })
		return
	}
	class := p.w.classIndex[request.Class]
	process.follower.RequestArrived(class, request.Key)
	if !process.follower.Admit(class) {
		p.logRejected(request, rejectedByAdmission)
		answer(rejectedResponse())
		return
	}
	forwarded := &proxyRequest{
		process:  process,
		request:  request,
		class:    class,
		deadline: p.w.now + min(limitMs, p.w.timeoutsMs[class]),
		answer:   answer,
	}
	forwarded.sendNext()
}

// logRejected logs that the proxy rejected a request or an attempt for it.
func (p *emulatedProxy) logRejected(request *wire.Request, reason string) {
	p.logEvent(eventlog.Event{What: eventlog.Refuse, Kind: request.Class, Req: request.RequestID, Text: reason})
}

// rejectedResponse returns the response to a request that certainly had no effect.
func rejectedResponse() *wire.Response {
	return &wire.Response{Outcome: wire.Denied, RetryAfterMs: routing.RetryAfterMs}
}

// sendNext selects an endpoint and sends the next attempt to it. Without an eligible endpoint the request fails.
func (r *proxyRequest) sendNext() {
	w := r.process.proxy.w
	follower := r.process.follower
	endpoint := follower.Pick(w.now, r.class, r.request.Key, r.tried)
	if endpoint == "" {
		r.process.proxy.logRejected(r.request, rejectedWithoutRoute)
		r.fail()
		return
	}
	follower.AttemptStarted(endpoint)
	r.tried = append(r.tried, endpoint)
	r.process.proxy.logEvent(eventlog.Event{
		What: eventlog.Send,
		Peer: endpoint,
		Kind: r.request.Class,
		Req:  r.request.RequestID,
		Text: r.request.Key,
		N:    len(r.tried),
	})
	w.Attempts++
	firstWaitMs := w.firstWaitFactor * w.targetsMs[r.class]
	waitMs := routing.AttemptTimeout(follower.RetryMode(r.class), len(r.tried), r.deadline-w.now, firstWaitMs)
	next := &attempt{request: r, endpoint: endpoint, startedAt: w.now}
	w.attemptDeadlines[r.class].add(w.now+waitMs, next)
	r.process.send(next, waitMs)
}

// send sends an attempt to its endpoint over the proxy's connection, which is opened first if necessary. waitMs is
// the timeout of the attempt.
func (pp *proxyProcess) send(a *attempt, waitMs float64) {
	p := pp.proxy
	endpoint := p.w.endpointByName[a.endpoint]
	if endpoint == nil {
		p.w.After(p.w.network.oneWayMs, func() { pp.attemptNotSent(a) })
		return
	}
	if pp.isConnected(endpoint) {
		p.w.network.transmit(p.location, endpoint.location, func() { pp.arrive(a, endpoint, waitMs) })
		return
	}
	if !p.w.network.reachable(p.location, endpoint.location) {
		p.w.After(dialTimeoutMs, func() { pp.attemptNotSent(a) })
		return
	}
	p.w.network.transmit(p.location, endpoint.location, func() {
		p.w.After(connectOneWayTrips*p.w.network.oneWayMs, func() { pp.arrive(a, endpoint, waitMs) })
	})
}

// isConnected returns whether the proxy has a connection to the endpoint's current process. A connection to an
// earlier process of the endpoint does not count.
func (pp *proxyProcess) isConnected(endpoint *emulatedEndpoint) bool {
	c := pp.connections[endpoint.Name]
	return c != nil && c.process == endpoint.process
}

// arrive delivers an attempt to its endpoint. If the endpoint does not accept the connection, the attempt fails as
// not sent.
func (pp *proxyProcess) arrive(a *attempt, endpoint *emulatedEndpoint, waitMs float64) {
	p := pp.proxy
	accepted, costMs := endpoint.connect(p.location.name)
	if !accepted {
		p.w.network.transmit(endpoint.location, p.location, func() { pp.attemptNotSent(a) })
		return
	}
	if !pp.isConnected(endpoint) {
		pp.connections[a.endpoint] = &connection{process: endpoint.process, attempts: map[*attempt]bool{}}
	}
	pp.connections[a.endpoint].attempts[a] = true
	received := a.asEndpointTask(endpoint, waitMs)
	if costMs > 0 {
		p.w.After(costMs+endpoint.dialDelayMs(), func() { endpoint.accept(received) })
		return
	}
	endpoint.accept(received)
}

// asEndpointTask converts an attempt to a task for the endpoint. The task's answer travels back over the network.
func (a *attempt) asEndpointTask(endpoint *emulatedEndpoint, waitMs float64) *task {
	process := a.request.process
	p := process.proxy
	request := &wire.Request{
		RequestID: a.request.request.RequestID,
		Class:     a.request.request.Class,
		From:      p.location.name,
		WorkMs:    a.request.request.WorkMs,
		TimeoutMs: waitMs,
	}
	answer := func(outcome wire.Outcome, retryAfterMs float64, load []wire.LoadMetric) {
		p.w.network.transmit(endpoint.location, p.location, func() {
			process.attemptEnded(a, &wire.Response{Outcome: outcome, RetryAfterMs: retryAfterMs, Load: load})
		})
	}
	return &task{request: request, answer: answer}
}

// attemptNotSent ends an attempt that was not sent to its endpoint, and so certainly had no effect.
func (pp *proxyProcess) attemptNotSent(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	now := pp.proxy.w.now
	pp.follower.AttemptFinished(now, a.endpoint, false, now-a.startedAt, nil)
	a.request.retryOrEnd(wire.Denied)
}

// isOver implements expirable. It reports whether the attempt has an outcome.
func (a *attempt) isOver() bool { return a.ended }

// expire implements expirable. It ends an attempt that was not answered within its timeout.
func (a *attempt) expire() { a.request.process.attemptEnded(a, nil) }

// attemptEnded records the outcome of an attempt and continues with its request. A nil answer means that the attempt
// timed out or its connection broke.
func (pp *proxyProcess) attemptEnded(a *attempt, answer *wire.Response) {
	if a.ended {
		return
	}
	a.ended = true
	if c := pp.connections[a.endpoint]; c != nil {
		delete(c.attempts, a)
	}
	outcome := wire.Errored
	var load []wire.LoadMetric
	if answer != nil {
		outcome = answer.Outcome
		load = answer.Load
	}
	now := pp.proxy.w.now
	pp.follower.AttemptFinished(now, a.endpoint, outcome == wire.Succeeded, now-a.startedAt, load)
	a.request.retryOrEnd(outcome)
}

// endpointDied fails the attempts in flight to an endpoint whose process has ended.
func (p *emulatedProxy) endpointDied(name string) {
	process := p.process
	if process == nil || process.connections[name] == nil {
		return
	}
	broken := process.connections[name]
	delete(process.connections, name)
	for _, a := range sortedAttempts(broken.attempts) {
		p.w.network.transmit(location{name: name}, p.location, func() { process.attemptEnded(a, nil) })
	}
}

// retryOrEnd answers the request if the attempt succeeded. Otherwise it sends another attempt if the retry policy
// allows one, and fails the request if not.
func (r *proxyRequest) retryOrEnd(outcome wire.Outcome) {
	if outcome == wire.Succeeded {
		r.answer(&wire.Response{Outcome: wire.Succeeded})
		return
	}
	didNotRun := outcome == wire.Denied
	if !didNotRun {
		r.mayHaveRun = true
	}
	if r.mayRetry(didNotRun) {
		r.sendNext()
		return
	}
	r.fail()
}

// mayRetry returns whether another attempt may follow a failed one: the retry policy allows it, the deadline has not
// passed and the proxy's process is still running.
func (r *proxyRequest) mayRetry(didNotRun bool) bool {
	p := r.process.proxy
	if !routing.RetryAllowed(r.process.follower.RetryMode(r.class), len(r.tried), didNotRun) {
		return false
	}
	return p.w.now < r.deadline-deadlineToleranceMs && p.process == r.process
}

// fail answers a request that did not succeed: as rejected if it certainly had no effect, otherwise as errored.
func (r *proxyRequest) fail() {
	if !r.mayHaveRun {
		r.answer(rejectedResponse())
		return
	}
	r.process.follower.RequestUnanswered(r.class, r.request.Key)
	r.answer(&wire.Response{Outcome: wire.Errored})
}

// sortedAttempts returns attempts sorted by request ID, then by start time. The fixed order keeps runs reproducible.
func sortedAttempts(attempts map[*attempt]bool) []*attempt {
	list := slices.Collect(maps.Keys(attempts))
	slices.SortFunc(list, func(x, y *attempt) int {
		return cmp.Or(
			cmp.Compare(x.request.request.RequestID, y.request.request.RequestID),
			cmp.Compare(x.startedAt, y.startedAt),
		)
	})
	return list
}
