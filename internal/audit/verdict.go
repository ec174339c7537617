package audit

import "fmt"

// Rule is one of the five rules that every pilot must keep.
type Rule int

// The rules, in the order in which they are shown. The file that checks each rule is in parentheses.
const (
	EndpointCoverage Rule = iota // no proxy lacks endpoints for a request class beyond a time limit (coverage.go)
	SingleEffect                 // no request that is not replayable takes effect more than once (effects.go)
	DrainDeadline                // no attempt is sent to a draining endpoint after the drain deadline (drains.go)
	SlowStartBudget              // no endpoint is overloaded during its warm-up (slowstart.go)
	ChannelQueue                 // channels keep their limits of queued lines and of messages (channel.go)
	// RuleCount is the number of rules.
	RuleCount
)

// ruleNames holds the names of the rules that are shown to operators.
var ruleNames = [RuleCount]string{
	EndpointCoverage: "no proxy without a line",
	SingleEffect:     "no effect twice",
	DrainDeadline:    "drains kept",
	SlowStartBudget:  "no cold endpoint pushed over",
	ChannelQueue:     "a short channel queue",
}

// String returns the rule's name as shown to operators.
func (r Rule) String() string { return ruleNames[r] }

// Violation describes one observation that violated a rule.
type Violation struct {
	At   float64 // time in ms since the start of the scenario
	Who  string  // name of the proxy, endpoint or pilot where it was observed
	Text string  // the measured value and its limit, for operators
}

// maxViolations limits how many violations of each rule are stored, as a rule that is violated once is often violated
// many times.
const maxViolations = 20

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule Rule
	// LimitFraction is the highest measured value as a fraction of the limit. Above 1 the rule is violated.
	LimitFraction float64
	// Worst describes the observation that gave LimitFraction; empty if every measured value was 0.
	Worst string
	// Checked is the number of observations. A low number shows that the run hardly tested the rule.
	Checked int
	// Violations holds the first maxViolations violations; empty if the rule was kept.
	Violations []Violation
}

// Kept returns whether the rule was not violated.
func (v *Verdict) Kept() bool { return len(v.Violations) == 0 }

// observe records one measured value, given as a fraction of its limit, at a time in ms. The description is formatted
// only if it is stored, because most observations are far from the limit.
func (v *Verdict) observe(fraction float64, at float64, who, format string, args ...any) {
	v.Checked++
	isWorst := fraction > v.LimitFraction
	isViolation := fraction > 1
	if !isWorst && !isViolation {
		return
	}
	text := fmt.Sprintf(format, args...)
	if isWorst {
		v.LimitFraction = fraction
		v.Worst = fmt.Sprintf("%.1fs %s %s", at/millisecondsPerSecond, who, text)
	}
	if isViolation && len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, Violation{At: at, Who: who, Text: text})
	}
}

const millisecondsPerSecond = 1000
