package scenario

import (
	"math"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/config"
)

// Fault is one fault of a scenario. Which of the fields are used depends on Type, as described in docs/rehearsal.md.
type Fault struct {
	Type           string        `json:"What"`  // fault type, one of faultTypes
	At             time.Duration `json:"At"`    // start, from the start of the scenario
	Duration       time.Duration `json:"For"`   // duration of the fault
	TargetPatterns []string      `json:"Who"`   // names or patterns of affected endpoints, proxies or pilots; empty: all
	Zone           string        `json:"Zone"`  // affected zone; "": any
	Class          string        `json:"Kind"`  // affected request class; "": all
	Fraction       float64       `json:"Part"`  // fraction of the names matching TargetPatterns, 0 to 1; 0: all
	Count          int           `json:"Count"` // number of the names matching TargetPatterns; 0: use Fraction
	Size           float64       `json:"Size"`  // strength of the fault, in a unit that depends on Type
	Loss           float64       `json:"Loss"`  // probability of a message loss, 0 to 0.9
	Interval       time.Duration `json:"Every"` // interval between repetitions, or between affected names
	ExtraDelay     time.Duration `json:"Extra"` // additional delay or downtime, depending on Type
}

// faultTypes lists the valid fault types, in the order in which the error about an unknown type lists them.
var faultTypes = []string{
	"hang", "fast_errors", "class_fail", "vanish", "crash", "restart", "drain", "preempt", "replace", "flapping",
	"zone_cut", "zone_loss", "slow_link", "handshake_slow",
	"proxy_crash", "proxy_roll", "pilot_kill", "pilot_roll", "reconnect", "counter_down",
	"burst", "hot_caller", "heavy_tail", "shift",
	"list_down", "list_all", "reload", "mute_proxy", "report_burst", "answers_twice", "silent", "handover", "slice_move",
	"pause", "pilot_pause",
}

// readFault decodes a block trouble "TYPE".
func (s *Scenario) readFault(labels []string, body *hclsyntax.Body) hcl.Diagnostics {
	fault := Fault{Type: labels[0]}
	diags := config.DecodeBody(body, []config.Field{
		{Name: "at", Into: &fault.At},
		{Name: "for", Into: &fault.Duration},
		{Name: "who", Into: &fault.TargetPatterns},
		{Name: "zone", Into: &fault.Zone},
		{Name: "kind", Into: &fault.Class},
		{Name: "part", Into: &fault.Fraction, Max: 1},
		{Name: "count", Into: &fault.Count},
		{Name: "size", Into: &fault.Size},
		{Name: "loss", Into: &fault.Loss, Max: 0.9},
		{Name: "every", Into: &fault.Interval},
		{Name: "extra", Into: &fault.ExtraDelay},
	}, nil)
	if !slices.Contains(faultTypes, fault.Type) {
		diags = append(diags, config.Diagnostic(body.SrcRange, "unknown trouble %q, want one of %s",
			fault.Type, strings.Join(faultTypes, ", ")))
	}
	s.Faults = append(s.Faults, fault)
	return diags
}

// Targets returns the names that the fault affects. If Count or Fraction limits the number of affected names, they are
// chosen at random from the names that match TargetPatterns.
func (f Fault) Targets(names []string, rnd *rand.Rand) []string {
	var matching []string
	for _, name := range names {
		if f.matches(name) {
			matching = append(matching, name)
		}
	}
	n := f.targetCount(len(matching))
	if n < len(matching) {
		rnd.Shuffle(len(matching), func(i, j int) { matching[i], matching[j] = matching[j], matching[i] })
		matching = matching[:n]
	}
	return matching
}

// matches reports whether TargetPatterns includes a name. Malformed patterns match nothing.
func (f Fault) matches(name string) bool {
	if len(f.TargetPatterns) == 0 {
		return true
	}
	return slices.ContainsFunc(f.TargetPatterns, func(pattern string) bool {
		ok, err := path.Match(pattern, name)
		return err == nil && ok
	})
}

// targetCount returns how many of the matching names the fault affects.
func (f Fault) targetCount(matching int) int {
	switch {
	case f.Count > 0:
		return min(f.Count, matching)
	case f.Fraction > 0:
		return int(math.Ceil(f.Fraction * float64(matching)))
	}
	return matching
}

// String describes the fault in one line.
func (f Fault) String() string {
	parts := []string{f.Type}
	if len(f.TargetPatterns) > 0 {
		parts = append(parts, strings.Join(f.TargetPatterns, ","))
	}
	if f.Zone != "" {
		parts = append(parts, f.Zone)
	}
	if f.Class != "" {
		parts = append(parts, f.Class)
	}
	if f.Duration > 0 {
		parts = append(parts, "for "+f.Duration.String())
	}
	return strings.Join(parts, " ")
}
