package config

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// requestClassBlock is the name of the blocks that describe request classes.
const requestClassBlock = "req_kind"

// maxRequestClasses is the maximum number of request classes. Sets of classes are bit masks, which are sent as
// non-negative 32-bit integers.
const maxRequestClasses = 31

// Values of RequestClass.Repeats.
const (
	RepeatsReplayable    = "replayable"     // idempotent: safe to repeat at any endpoint
	RepeatsUniqued       = "uniqued"        // has an idempotency key: safe to repeat within Group and Window
	RepeatsNonReplayable = "non-replayable" // may be repeated only if it is known not to have been executed
)

// Values of RequestClass.Group.
const (
	groupAll  = "all"
	groupZone = "zone"
	groupCell = "cell"
)

// RequestClass describes one class of requests. The JSON keys are those of stored experiment results.
type RequestClass struct {
	Name           string        `json:"Name"`
	ResponseTarget time.Duration `json:"ResponseTarget"` // latency objective: a response within it earns Payoff
	ClientTimeout  time.Duration `json:"ClientTimeout"`  // time that clients wait for a response, retries included
	Payoff         float64       `json:"Payoff"`         // priority weight: value of a response within ResponseTarget
	LatePayoff     float64       `json:"LatePayoff"`     // fraction of Payoff that a later response earns
	Repeats        string        `json:"Repeats"`        // whether a request may be repeated: one of the Repeats constants
	Group          string        `json:"Group"`          // scope of RepeatsUniqued idempotency keys: one of the group constants
	Window         time.Duration `json:"Window"`         // time for which endpoints remember idempotency keys
	OnlyMachines   []string      `json:"OnlyMachines"`   // machine types that may serve the class; empty: all
	OnlyZones      []string      `json:"OnlyZones"`      // zones that may serve the class; empty: all
	OwnZone        bool          `json:"OwnZone"`        // whether only endpoints in the caller's zone may serve the class
	Writes         bool          `json:"Writes"`         // whether requests of the class modify data
}

// newRequestClass returns a request class with the default settings.
func newRequestClass(name string) RequestClass {
	return RequestClass{
		Name:           name,
		ResponseTarget: time.Second,
		ClientTimeout:  3 * time.Second,
		Payoff:         1,
		Repeats:        RepeatsReplayable,
		Group:          groupAll,
		Window:         5 * time.Second,
	}
}

// repeatHazard returns why a request of the class that a proxy repeats may take effect twice, or "" if it may not. A proxy
// repeats a request at any endpoint that serves the class, until ClientTimeout.
func (k *RequestClass) repeatHazard() string {
	switch {
	case k.Repeats == RepeatsReplayable:
		return ""
	case k.Repeats == RepeatsNonReplayable:
		return "is non-replayable"
	case k.Group == groupCell || k.Group == groupZone && !k.OwnZone:
		return "is uniqued only within a " + k.Group
	case k.Window < k.ClientTimeout:
		return "is uniqued for less than client_timeout"
	}
	return ""
}

// fields returns the attributes of a request class.
func (k *RequestClass) fields() []Field {
	return []Field{
		{Name: "response_target", Into: &k.ResponseTarget, Min: 0.001},
		{Name: "client_timeout", Into: &k.ClientTimeout, Min: 0.001},
		{Name: "payoff", Into: &k.Payoff},
		{Name: "late_payoff", Into: &k.LatePayoff, Max: 1},
		{Name: "repeats", Into: &k.Repeats, OneOf: []string{RepeatsReplayable, RepeatsUniqued, RepeatsNonReplayable}},
		{Name: "group", Into: &k.Group, OneOf: []string{groupAll, groupZone, groupCell}},
		{Name: "window", Into: &k.Window},
		{Name: "only_machines", Into: &k.OnlyMachines},
		{Name: "only_zones", Into: &k.OnlyZones},
		{Name: "own_zone", Into: &k.OwnZone},
		{Name: "writes", Into: &k.Writes},
	}
}

// readRequestClass decodes the block of a request class and appends the class.
func (c *Common) readRequestClass(labels []string, body *hclsyntax.Body) hcl.Diagnostics {
	class := newRequestClass(labels[0])
	diags := DecodeBody(body, class.fields(), nil)
	diags = append(diags, checkListed(body, "only_machines", class.OnlyMachines, c.Machines)...)
	diags = append(diags, checkListed(body, "only_zones", class.OnlyZones, c.Zones)...)
	if slices.Contains(c.ClassNames(), class.Name) {
		diags = append(diags, Diagnostic(body.SrcRange, "duplicate req_kind %q", class.Name))
	}
	c.Kinds = append(c.Kinds, class)
	return diags
}

// checkListed reports names in an attribute that are not in the corresponding top-level list, zones or machines.
func checkListed(body *hclsyntax.Body, attribute string, names, known []string) (diags hcl.Diagnostics) {
	for _, name := range names {
		if !slices.Contains(known, name) {
			diags = append(diags, Diagnostic(body.SrcRange, "%s: %q is not listed at the top level", attribute, name))
		}
	}
	return diags
}

// ClassNames returns the names of the request classes in the order of the settings file.
func (c *Common) ClassNames() (names []string) {
	for _, class := range c.Kinds {
		names = append(names, class.Name)
	}
	return names
}
