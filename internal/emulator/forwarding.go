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
	// dialTimeoutMs is how long a proxy waits for a connection to an endpoint.
	dialTimeoutMs = 250
	// connectTrips is how many one-way trips the opening of a connection takes before a request can be sent on it.
	connectOneWayTrips = 2
	// deadlineToleranceMs is less time than counts; rounding may leave it before a deadline that has come.
	deadlineToleranceMs = 1e-6
)

// Reasons for which a proxy rejects a request, as it logs them.
const (
	rejectedByAdmission  = "level"
	rejectedWithoutRoute = "no line"
)

// proxyRequest is a request that a proxy forwards, with its attempts.
type proxyRequest struct {
	process    *proxyProcess
	request    *wire.Request
	class      int      // number of the request class
	deadline   float64  // ms
	tried      []string // endpoints, in the order of the attempts
	mayHaveRun bool     // some attempt did not prove that it had no effect
	answer     func(*wire.Response)
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request   *proxyRequest
	endpoint  string
	startedAt float64 // ms
	ended     bool
}

// connection is a proxy's connection to one endpoint.
type connection struct {
	process  *endpointProcess // that accepted it
	attempts map[*attempt]bool
}

// handle forwards a request and answers it within a limit in ms. One that comes while a message is applied waits for
// that. The answer is nil where the proxy does not run.
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

func (p *emulatedProxy) logRejected(request *wire.Request, reason string) {
	p.logEvent(eventlog.Event{What: eventlog.Refuse, Kind: request.Class, Req: request.RequestID, Text: reason})
}

// rejection is the answer to a request that has had no effect.
func rejectedResponse() *wire.Response {
	return &wire.Response{Outcome: wire.Denied, RetryAfterMs: routing.RetryAfterMs}
}

// sendNext picks an endpoint for the next attempt and sends it there.
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

// send brings an attempt to its endpoint over the proxy's connection, which is opened first if need be.
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

// isConnected returns whether there is a connection to an endpoint's present process.
func (pp *proxyProcess) isConnected(endpoint *emulatedEndpoint) bool {
	c := pp.connections[endpoint.Name]
	return c != nil && c.process == endpoint.process
}

// arrive hands an attempt to its endpoint, once the endpoint has accepted the connection.
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

// received returns an attempt as the endpoint sees it; its answer goes back over the network.
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

// notSent ends an attempt that never left: it proves that the request has not run.
func (pp *proxyProcess) attemptNotSent(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	now := pp.proxy.w.now
	pp.follower.AttemptFinished(now, a.endpoint, false, now-a.startedAt, nil)
	a.request.retryOrEnd(wire.Denied)
}

// isOver implements expirable.
func (a *attempt) isOver() bool { return a.ended }

// expire ends an attempt that was not answered in time.
func (a *attempt) expire() { a.request.process.attemptEnded(a, nil) }

// attemptEnded takes the answer to an attempt; nil means that there was none.
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

// endpointDied ends what is in flight to an endpoint whose process has ended.
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

// retryOrEnd answers a request after an attempt, or sends it once more where the retry policy lets it.
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

// mayRetry returns whether another attempt may follow one that failed.
func (r *proxyRequest) mayRetry(didNotRun bool) bool {
	p := r.process.proxy
	if !routing.RetryAllowed(r.process.follower.RetryMode(r.class), len(r.tried), didNotRun) {
		return false
	}
	return p.w.now < r.deadline-deadlineToleranceMs && p.process == r.process
}

// fail answers a request that did not succeed: as rejected if it certainly has had no effect.
func (r *proxyRequest) fail() {
	if !r.mayHaveRun {
		r.answer(rejectedResponse())
		return
	}
	r.process.follower.RequestUnanswered(r.class, r.request.Key)
	r.answer(&wire.Response{Outcome: wire.Errored})
}

// sortedAttempts lists attempts by request, those of one request by when they were sent.
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
