package planner

// This file implements load shedding and the retry policy: which fraction of each request class the proxies of a zone
// admit, and which classes they retry.
//
// A retry is a second attempt of a proxy at the same request. The planner enables retries after any failure only for
// classes whose requests may be executed twice (RequestClass.Retryable), and only while most retries would be answered
// in time and the endpoints have capacity for them (retriesHelp). Otherwise the deployment's default retry mode
// applies, but to classes whose requests must take effect once at most only as far as it never repeats a request that
// may have been executed (defaultRetryMode). The proxies limit the number of attempts.

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	// overloadThreshold is the mean load above which the endpoints of a class group count as overloaded, as a fraction
	// of their capacity. The shed fraction decreases once the load is below overloadThreshold-overloadHysteresis.
	overloadThreshold  = 0.9
	overloadHysteresis = 0.05

	// minOverloadFailureRate is the fraction of failed attempts above which any load above the target load counts as
	// overload.
	minOverloadFailureRate = 0.2

	maxShedFraction    = 0.9   // upper bound of the fraction of a group's requests that is rejected
	shedStep           = 0.06  // fraction of the admitted requests that a round of overload additionally rejects
	shedFailureDivisor = 8.0   // the failure rate divided by this is added to shedStep
	shedDecay          = 0.92  // factor applied to the shed fraction in each round without overload
	shedDecayStep      = 0.005 // subtracted from the shed fraction as well, so that it reaches 0

	// minAdmittedFraction is the fraction of each class's requests that is admitted at any load.
	minAdmittedFraction = 0.1

	// shareSteps is the number of steps between 0 and 1 that an admitted share is rounded to. Fewer steps cause fewer
	// messages to the proxies.
	shareSteps = 20.0

	// rateStepsPerOctave is the number of logarithmic steps between a rate limit and twice that limit. Rate limits are
	// rounded to these steps.
	rateStepsPerOctave = 4.0

	// unlimitedRate is a rate limit, in requests per second, that no proxy reaches: all requests are admitted.
	unlimitedRate = 1e6
)

// Retry modes and the conditions for retries.
const (
	// retryModeNotExecuted is the retry mode in which a proxy retries only if the failed attempt was certainly not executed.
	retryModeNotExecuted = 1

	// retryModeAnyFailure is the retry mode in which a proxy retries after any failure, even if the endpoint may have
	// executed the failed attempt.
	retryModeAnyFailure = 2

	// Retries after any failure are enabled only while the failure rate is between these bounds. Below the lower bound
	// they are not needed; above the upper bound an answer would take more than two attempts on average.
	minRetryFailureRate = 0.02
	maxRetryFailureRate = 0.5

	// maxRetryLoad is the load below which endpoints have capacity for retries, as a fraction of their capacity. The
	// load includes the expected retries.
	maxRetryLoad = 0.7

	// maxRetryWait is the longest wait before a first retry, as a multiple of the class's response target, with which
	// retries are still useful.
	maxRetryWait = 1.0
)

// shedSequence returns the indices of the classes in the order in which their requests are rejected: lowest priority
// weight per unit of work first. The work of a request is estimated by its response target.
func shedSequence(classes []RequestClass) []int {
	weightPerWork := func(class int) float64 { return classes[class].PriorityWeight / classes[class].ResponseTargetMs }
	order := make([]int, len(classes))
	for class := range classes {
		order[class] = class
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weightPerWork(a), weightPerWork(b)) })
	return order
}

// updateAdmission computes the admission levels and retry modes of a class group's tables and passes them to the
// publisher. Load is the mean load of the group's endpoints.
func (r *region) updateAdmission(group int, load float64) {
	r.updateShedFraction(group, load)
	p := r.planner
	mask := p.groups[group].mask
	retriesHelp := r.retriesHelp(load)
	remaining := r.shedFraction[group] * float64(bits.OnesCount(uint(mask))) // in units of all requests of one class
	requests := p.totalRequests()
	for _, class := range p.shedSequence {
		if !p.groups[group].contains(class) {
			continue
		}
		rejected := p.rejectedFraction(remaining)
		remaining -= rejected
		r.enqueueAdmission(group, SetAdmission{
			Classes: 1 << class, RetryMode: p.retryPolicy(class, retriesHelp),
			Level: r.admissionLevel(class, rejected, requests),
		})
	}
}

// enqueueAdmission passes the admission level of one class to the publisher, for the tables of all proxy subsets of
// the zone. It sets the table number of the command.
func (r *region) enqueueAdmission(group int, command SetAdmission) {
	p := r.planner
	for subset := range p.subsetsOfZone {
		command.Table = p.tableNumber(r.zone*p.subsetsOfZone+subset, group)
		p.publisher.mailbox.enqueue(wantedAdmission{command})
	}
}

// updateShedFraction updates the fraction of a group's requests to reject. It grows while the mean load of the group's
// endpoints shows overload, and shrinks afterwards.
func (r *region) updateShedFraction(group int, load float64) {
	before := r.shedFraction[group]
	overloaded := load > overloadThreshold || load > r.planner.targetLoad && r.failureRate > minOverloadFailureRate
	if overloaded {
		r.shedFraction[group] = math.Min(maxShedFraction, before+(1-before)*(shedStep+r.failureRate/shedFailureDivisor))
	} else if load < overloadThreshold-overloadHysteresis {
		r.shedFraction[group] = math.Max(0, shedDecay*before-shedDecayStep)
	}
	if (before == 0) != (r.shedFraction[group] == 0) {
		r.planner.logf("zone %d kinds %b: denying %.2f load %.2f fail %.2f", r.zone, r.planner.groups[group].mask,
			r.shedFraction[group], load, r.failureRate)
	}
}

// retriesHelp returns whether most retries would be answered in time at the given mean load of the endpoints.
func (r *region) retriesHelp(load float64) bool {
	inTime := r.planner.settings.FirstRetryWait <= maxRetryWait
	someFail := r.failureRate > minRetryFailureRate && r.failureRate < maxRetryFailureRate
	hasCapacity := load*(1+r.failureRate) < maxRetryLoad
	return inTime && someFail && hasCapacity
}

// retryPolicy returns the retry mode of a class: retryModeAnyFailure if retries help and the class allows them,
// otherwise the default mode.
func (p *Planner) retryPolicy(class int, retriesHelp bool) int {
	if retriesHelp && p.classes[class].Retryable {
		return retryModeAnyFailure
	}
	return p.defaultRetryMode(class)
}

// defaultRetryMode returns the deployment's default retry mode, limited to retryModeNotExecuted for classes whose
// requests may take effect twice otherwise.
func (p *Planner) defaultRetryMode(class int) int {
	if p.classes[class].Retryable || p.classes[class].Deduplicated {
		return p.settings.DefaultRetryMode
	}
	return min(p.settings.DefaultRetryMode, retryModeNotExecuted)
}

// rejectedFraction returns the fraction of a class's requests to reject. Remaining is the amount that is still to be
// shed, where 1 stands for all requests of one class. If the deployment supports no admission control, it returns 0.
func (p *Planner) rejectedFraction(remaining float64) float64 {
	switch p.settings.Admission {
	case AdmitByShare, AdmitByRate:
		return math.Min(1-minAdmittedFraction, remaining)
	}
	return 0
}

// totalRequests returns the recent number of requests of all classes. It is always above zero.
func (p *Planner) totalRequests() float64 {
	sum := 1e-9
	for class := range p.classes {
		sum += p.demand.classRequests(class)
	}
	return sum
}

// admissionLevel returns the admission level that rejects a fraction of a class's requests: the admitted share (0 to
// 1) or, if the deployment limits rates, a limit for each proxy in requests per second. The request rates of proxies
// are assumed to be exponentially distributed: with a mean rate m, a limit of -m*ln(c) rejects the fraction c of the
// requests. Requests is the recent number of requests of all classes.
func (r *region) admissionLevel(class int, rejected, requests float64) float64 {
	p := r.planner
	if p.settings.Admission != AdmitByRate {
		return math.Round(shareSteps*(1-rejected)) / shareSteps
	}
	mean := p.demand.ratePerProxy(r.zone) / requests * p.demand.classRequests(class)
	if rejected*mean > 0 {
		return math.Exp2(math.Round(rateStepsPerOctave*math.Log2(-mean*math.Log(rejected))) / rateStepsPerOctave)
	}
	return unlimitedRate
}
