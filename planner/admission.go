package planner

// This file sheds load by priority and sets the retry policy: how much of each class a group's tables admit, and
// which classes proxies retry.
//
// A retry is a second attempt of a proxy at the same request. Retries after any failure are commanded only for
// classes that may be repeated even if the first attempt has run (RequestClass.Retryable), and only while most of
// them would bring an answer in time and the endpoints have room for them (retriesHelp). Otherwise the deployment's
// default applies. The proxies limit the number of attempts.

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	// overloadThreshold is the mean load above which a group's endpoints count as overloaded; shedding stops below
	// overloadThreshold-overloadHysteresis.
	overloadThreshold  = 0.9
	overloadHysteresis = 0.05

	// minOverloadFailureRate is the failure rate above which the target load already counts as overload.
	minOverloadFailureRate = 0.2

	maxShedFraction    = 0.9   // of a group's requests
	shedStep           = 0.06  // fraction of the admitted requests that a round of overload sheds
	shedFailureDivisor = 8.0   // divisor of the failure rate that is added to the step
	shedDecay          = 0.92  // factor of the shed fraction in a round without overload
	shedDecayStep      = 0.005 // further decrease, so that shedding ends

	// minAdmittedFraction is the fraction of each class that is admitted at any load.
	minAdmittedFraction = 0.1

	// shareSteps is the number of steps of an admitted share: fewer steps need fewer messages.
	shareSteps = 20.0

	// rateStepsPerOctave is the number of steps in which an admitted rate doubles.
	rateStepsPerOctave = 4.0

	// unlimitedRate is a rate of a proxy, in requests a second, that admits all.
	unlimitedRate = 1e6
)

// Retry policies of a table.
const (
	// retryModeAnyFailure has a proxy retry after any failure, even if the attempt may have run.
	retryModeAnyFailure = 2

	// Retries are commanded while the failure rate lies between these. Below the first there is no need; above the
	// second an answer would take more than two attempts on average.
	minRetryFailureRate = 0.02
	maxRetryFailureRate = 0.5

	// maxRetryLoad is the largest load, including the retries, at which there is room for them.
	maxRetryLoad = 0.7

	// maxRetryWait is the longest wait before a retry, in response targets, that leaves time for an answer.
	maxRetryWait = 1.0
)

// shedSequence returns the classes in the order in which their requests are rejected: lowest priority weight per work
// first. The work of a request is estimated by its response target.
func shedSequence(classes []RequestClass) []int {
	weightPerWork := func(class int) float64 { return classes[class].PriorityWeight / classes[class].ResponseTargetMs }
	order := make([]int, len(classes))
	for class := range classes {
		order[class] = class
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weightPerWork(a), weightPerWork(b)) })
	return order
}

// updateAdmission gives the publisher the admission levels and retry policies that a group's tables should have.
func (r *region) updateAdmission(group int, load float64) {
	r.updateShedFraction(group, load)
	p := r.planner
	mask := p.groups[group].mask
	retriesHelp := r.retriesHelp(load)
	remaining := r.shedFraction[group] * float64(bits.OnesCount(uint(mask))) // in whole classes
	requests := p.totalRequests()
	for _, class := range p.shedSequence {
		if !p.groups[group].contains(class) {
			continue
		}
		cut := p.rejectedFraction(remaining)
		remaining -= cut
		r.enqueueAdmission(group, SetAdmission{
			Classes: 1 << class, RetryMode: p.retryPolicy(class, retriesHelp),
			Level: r.admissionLevel(class, cut, requests),
		})
	}
}

// enqueueAdmission gives the publisher the admission of one class, for the tables of all the zone's subsets.
func (r *region) enqueueAdmission(group int, command SetAdmission) {
	p := r.planner
	for subset := range p.subsetsOfZone {
		command.Table = p.tableNumber(r.zone*p.subsetsOfZone+subset, group)
		p.publisher.mailbox.enqueue(wantedAdmission{command})
	}
}

// updateShedFraction updates the fraction of a group's requests to reject: it grows while the group's endpoints are
// overloaded as a whole, and shrinks afterwards.
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

// retriesHelp returns whether second attempts would mostly bring an answer in time.
func (r *region) retriesHelp(load float64) bool {
	inTime := r.planner.settings.FirstRetryWait <= maxRetryWait
	someFail := r.failureRate > minRetryFailureRate && r.failureRate < maxRetryFailureRate
	hasCapacity := load*(1+r.failureRate) < maxRetryLoad
	return inTime && someFail && hasCapacity
}

// retryPolicy returns the retry policy of a class.
func (p *Planner) retryPolicy(class int, retriesHelp bool) int {
	if retriesHelp && p.classes[class].Retryable {
		return retryModeAnyFailure
	}
	return p.settings.DefaultRetryMode
}

// rejectedFraction returns the fraction of the next class to reject, given what is left to shed, in whole classes.
func (p *Planner) rejectedFraction(remaining float64) float64 {
	switch p.settings.Admission {
	case AdmitByShare, AdmitByRate:
		return math.Min(1-minAdmittedFraction, remaining)
	}
	return 0
}

// totalRequests returns how many requests of all classes came recently.
func (p *Planner) totalRequests() float64 {
	sum := 1e-9
	for class := range p.classes {
		sum += p.demand.classRequests(class)
	}
	return sum
}

// admissionLevel returns the level that rejects a fraction of a class: the admitted share or, where proxies take
// rates, the rate limit of each proxy that rejects as much. Proxies' rates are assumed to be distributed
// exponentially: with a mean rate m, a limit of -m*ln(c) rejects the fraction c of the requests.
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
