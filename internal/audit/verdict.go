package audit

import "fmt"

// Rule is one of the five rules that every pilot must keep.
type Rule int

// The rules, in the order in which they are shown. Each has a file of its own in this package.
const (
	EndpointCoverage Rule = iota // no proxy is left without an endpoint for a request class (coverage.go)
	SingleEffect                 // no request takes effect twice (effects.go)
	DrainDeadline                // nothing is sent to a draining endpoint after its deadline (drains.go)
	SlowStartBudget              // no endpoint that warms up is overloaded (slowstart.go)
	ChannelQueue                 // no channel queues more than it may (channel.go)
	// RuleCount is the number of rules.
	RuleCount
)

// ruleNames are the names shown to operators.
var ruleNames = [RuleCount]string{
	EndpointCoverage: "no proxy without a line",
	SingleEffect:     "no effect twice",
	DrainDeadline:    "drains kept",
	SlowStartBudget:  "no cold endpoint pushed over",
	ChannelQueue:     "a short channel queue",
}

// String returns the name of the rule as shown to operators.
func (r Rule) String() string { return ruleNames[r] }

// Violation is the evidence of one moment at which a rule was broken.
type Violation struct {
	At   float64 // ms since the start of the scenario
	Who  string  // name of the proxy, endpoint or pilot at which it was seen
	Text string
}

// maxViolations bounds how many violations of one rule are kept; a rule that breaks tends to break often.
const maxViolations = 20

// Verdict is the judgement on one rule.
type Verdict struct {
	Rule Rule
	// LimitFraction is the highest measured value as a fraction of the limit; above 1 the rule is broken.
	LimitFraction float64
	// Worst describes the moment of LimitFraction.
	Worst string
	// Checked counts the observations. A rule that was kept because nothing tested it shows by a low count.
	Checked int
	// Violations holds the first maxViolations of them.
	Violations []Violation
}

// Kept returns whether the rule held.
func (v *Verdict) Kept() bool { return len(v.Violations) == 0 }

// observe counts one measured value, given as a fraction of its limit, at a time in ms. The description is formatted
// only where it is kept: most observations are far from the limit.
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
