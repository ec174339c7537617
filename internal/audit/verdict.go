package audit

import (
	"fmt"
)

// Rule is one of the five.
type Rule int

// The rules.
const (
	EndpointCoverage Rule = iota
	SingleEffect
	DrainDeadline
	SlowStartBudget
	ChannelQueue
	ruleCount
)

// String names a rule.
func (r Rule) String() string {
	return [...]string{"no proxy without a line", "no effect twice", "drains kept", "no cold endpoint pushed over",
		"a short channel queue"}[r]
}

// Violation is one piece of evidence.
type Violation struct {
	At   float64 // ms
	Who  string
	Text string
}

const maxViolations = 20

// Verdict is on one rule. Part is how near to the limit the worst moment came; above 1 the rule is broken. Checked
// counts what was looked at, so that a rule kept for want of cases shows.
type Verdict struct {
	Rule          Rule
	LimitFraction float64
	Worst         string
	Checked       int
	Violations    []Violation
}

// Kept returns whether the rule held.
func (v *Verdict) Kept() bool { return len(v.Violations) == 0 }

func (v *Verdict) observe(part float64, at float64, who, format string, args ...any) {
	v.Checked++
	if part <= v.LimitFraction && part <= 1 {
		return
	}
	text := fmt.Sprintf(format, args...)
	if part > v.LimitFraction {
		v.LimitFraction, v.Worst = part, fmt.Sprintf("%.1fs %s %s", at/1000, who, text)
	}
	if part > 1 && len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, Violation{at, who, text})
	}
}
