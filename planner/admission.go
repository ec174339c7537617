package planner

// This file sheds load by priority and sets the retry policy: what a group's tables admit of each class, and which
// classes proxies try again.
//
// A retry is a second attempt that a proxy makes by itself. Three limits hold: policy 2 is ordered only for classes
// that may be repeated after an attempt that may have run, only while few enough attempts fail that most second ones
// help, and only while the endpoints have room for them (retriesHelp). How often a proxy retries at all is the
// proxies' matter.

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
)

const (
	// fullLoad is the mean load above which a group's endpoints count as overloaded; shedding stops below
	// fullLoad-fullLoadMargin.
	fullLoad       = 0.9
	fullLoadMargin = 0.05

	// overloadFailureRate is the part of the attempts whose failure counts as overload at the target load already.
	overloadFailureRate = 0.2

	maxShed         = 0.9   // of a group's requests
	shedStep        = 0.06  // of what is admitted, in a round of overload
	shedFailureGain = 8.0   // a failure rate divided by this is shed on top
	shedRelease     = 0.92  // what a round without overload leaves of the shed part
	shedReleaseStep = 0.005 // and less by this, so that it ends

	// minAdmitted is the part of each class that is admitted whatever the load.
	minAdmitted = 0.1

	// levelSteps is the number of steps of a share that is admitted: few steps, few messages.
	levelSteps = 20.0

	// rateStepsOfOctave is the number of steps in which a rate that is admitted doubles.
	rateStepsOfOctave = 4.0

	// unlimitedRate is a limit, in requests a second of a proxy, that admits all.
	unlimitedRate = 1e6
)

// Retry policies of a table.
const (
	// retryAnyFailure has a proxy try again after any failure, also after one that may have run.
	retryAnyFailure = 2

	// Retries are ordered while the failure rate lies between these. Below the first there is nothing to mend; above
	// the second an answer would take more than two attempts on average.
	minRetryFailureRate = 0.02
	maxRetryFailureRate = 0.5

	// maxRetryLoad is the load, with the retries on top, up to which there is room for them.
	maxRetryLoad = 0.7

	// maxRetryWait is the longest wait before a retry, in response targets, after which an answer is still in time.
	maxRetryWait = 1.0
)

// shedOrder returns the classes in the order in which their requests are rejected: the least priority weight for the
// work first. Work is taken to go with the response target.
func shedOrder(classes []RequestClass) []int {
	value := func(class int) float64 { return classes[class].PriorityWeight / classes[class].ResponseTargetMs }
	order := make([]int, len(classes))
	for class := range classes {
		order[class] = class
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(value(a), value(b)) })
	return order
}

// updateAdmission gives the publisher the admission levels and retry policies that a group's tables should have.
func (r *region) updateAdmission(group int, load float64) {
	r.updateShed(group, load)
	p := r.planner
	mask := p.groups[group].mask
	retriesHelp := r.retriesHelp(load)
	left := r.shed[group] * float64(bits.OnesCount(uint(mask))) // in whole classes
	requests := p.allRequests()
	for _, class := range p.shedOrder {
		if !p.groups[group].has(class) {
			continue
		}
		cut := p.classCut(left)
		left -= cut
		r.wantAdmission(group, SetAdmission{
			Classes: 1 << class, RetryMode: p.retryPolicy(class, retriesHelp),
			Level: r.admissionLevel(class, cut, requests),
		})
	}
}

// wantAdmission gives the publisher the admission of one class, for the tables of all the zone's subsets.
func (r *region) wantAdmission(group int, command SetAdmission) {
	p := r.planner
	for subset := range p.subsetsOfZone {
		command.Table = p.tableNumber(r.zone*p.subsetsOfZone+subset, group)
		p.publisher.mailbox.enqueue(wantedAdmission{command})
	}
}

// updateShed takes the part of a group's requests that is rejected anew: more while its endpoints are overloaded as a
// whole, less once they aren't.
func (r *region) updateShed(group int, load float64) {
	before := r.shed[group]
	overloaded := load > fullLoad || load > r.planner.targetLoad && r.failureRate > overloadFailureRate
	if overloaded {
		r.shed[group] = math.Min(maxShed, before+(1-before)*(shedStep+r.failureRate/shedFailureGain))
	} else if load < fullLoad-fullLoadMargin {
		r.shed[group] = math.Max(0, shedRelease*before-shedReleaseStep)
	}
	if (before == 0) != (r.shed[group] == 0) {
		r.planner.logf("zone %d kinds %b: denying %.2f load %.2f fail %.2f", r.zone, r.planner.groups[group].mask,
			r.shed[group], load, r.failureRate)
	}
}

// retriesHelp returns whether second attempts would mostly bring an answer in time.
func (r *region) retriesHelp(load float64) bool {
	inTime := r.planner.settings.FirstRetryWait <= maxRetryWait
	someFail := r.failureRate > minRetryFailureRate && r.failureRate < maxRetryFailureRate
	room := load*(1+r.failureRate) < maxRetryLoad
	return inTime && someFail && room
}

// retryPolicy returns the retry policy of a class.
func (p *Planner) retryPolicy(class int, retriesHelp bool) int {
	if retriesHelp && p.classes[class].Retryable {
		return retryAnyFailure
	}
	return p.settings.DefaultRetry
}

// classCut returns the part of the next class that is rejected while so much, in whole classes, is left to be.
func (p *Planner) classCut(left float64) float64 {
	switch p.settings.Admission {
	case AdmitByShare, AdmitByRate:
		return math.Min(1-minAdmitted, left)
	}
	return 0
}

// allRequests returns how many requests of all classes came lately.
func (p *Planner) allRequests() float64 {
	sum := 1e-9
	for class := range p.classes {
		sum += p.demand.ofClass(class)
	}
	return sum
}

// admissionLevel returns the level that rejects a part of a class: the share that is left, or, where proxies take
// rates, the limit of each proxy that rejects as much. Proxies' rates are taken to be spread exponentially: beyond a
// limit of -m*ln(c) lies the part c of the requests of proxies with a mean rate m.
func (r *region) admissionLevel(class int, cut, requests float64) float64 {
	p := r.planner
	if p.settings.Admission != AdmitByRate {
		return math.Round(levelSteps*(1-cut)) / levelSteps
	}
	mean := p.demand.perProxy(r.zone) / requests * p.demand.ofClass(class)
	if cut*mean > 0 {
		return math.Exp2(math.Round(rateStepsOfOctave*math.Log2(-mean*math.Log(cut))) / rateStepsOfOctave)
	}
	return unlimitedRate
}
