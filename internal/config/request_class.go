package config

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// requestClassBlock is the type of the block that describes a request class.
const requestClassBlock = "req_kind"

// maxRequestClasses is the number of bits of a class mask, which the wire carries as a non-negative 32-bit integer.
const maxRequestClasses = 31

// Values of RequestClass.Repeats.
const (
	RepeatsReplayable    = "replayable"     // idempotent: safe to repeat anywhere
	RepeatsUniqued       = "uniqued"        // safe to repeat within Group and Window, by an idempotency key
	RepeatsNonReplayable = "non-replayable" // may be repeated only if it is proven that nothing ran
)

// RequestClass describes one class of requests. The JSON keys are those of stored experiment results.
type RequestClass struct {
	Name           string        `json:"Name"`
	ResponseTarget time.Duration `json:"ResponseTarget"` // latency objective: an answer within it earns Payoff
	ClientTimeout  time.Duration `json:"ClientTimeout"`  // for which clients wait, all attempts together
	Payoff         float64       `json:"Payoff"`         // priority weight
	LatePayoff     float64       `json:"LatePayoff"`     // fraction of Payoff that a later answer earns
	Repeats        string        `json:"Repeats"`        // whether a request may be repeated: RepeatsReplayable, ...
	Group          string        `json:"Group"`          // RepeatsUniqued: endpoints that share seen keys: all, zone, cell
	Window         time.Duration `json:"Window"`         // RepeatsUniqued: for which seen keys are kept
	OnlyMachines   []string      `json:"OnlyMachines"`   // machine types that may serve it; none means all
	OnlyZones      []string      `json:"OnlyZones"`      // zones that may serve it; none means all
	OwnZone        bool          `json:"OwnZone"`        // only the caller's zone may serve it
	Writes         bool          `json:"Writes"`         // it modifies data
}

// newRequestClass returns a class with the default settings.
func newRequestClass(name string) RequestClass {
	return RequestClass{
		Name:           name,
		ResponseTarget: time.Second,
		ClientTimeout:  3 * time.Second,
		Payoff:         1,
		Repeats:        RepeatsReplayable,
		Group:          "all",
		Window:         5 * time.Second,
	}
}

// fields lists the attributes of a request class.
func (k *RequestClass) fields() []Field {
	return []Field{
		{Name: "response_target", Into: &k.ResponseTarget, Min: 0.001},
		{Name: "client_timeout", Into: &k.ClientTimeout, Min: 0.001},
		{Name: "payoff", Into: &k.Payoff},
		{Name: "late_payoff", Into: &k.LatePayoff, Max: 1},
		{Name: "repeats", Into: &k.Repeats, OneOf: []string{RepeatsReplayable, RepeatsUniqued, RepeatsNonReplayable}},
		{Name: "group", Into: &k.Group, OneOf: []string{"all", "zone", "cell"}},
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
	diags := Read(body, class.fields(), nil)
	diags = append(diags, checkListed(body, "only_machines", class.OnlyMachines, c.Machines)...)
	diags = append(diags, checkListed(body, "only_zones", class.OnlyZones, c.Zones)...)
	if slices.Contains(c.ClassNames(), class.Name) {
		diags = append(diags, Diagnostic(body.SrcRange, "req_kind %q stands here twice", class.Name))
	}
	c.Kinds = append(c.Kinds, class)
	return diags
}

// checkListed reports the names of an attribute that are not in the top-level list of known ones.
func checkListed(body *hclsyntax.Body, attribute string, names, known []string) (diags hcl.Diagnostics) {
	for _, name := range names {
		if !slices.Contains(known, name) {
			diags = append(diags, Diagnostic(body.SrcRange, "%s: %q is not listed at the top", attribute, name))
		}
	}
	return diags
}

// ClassNames returns the names of the request classes in order.
func (c *Common) ClassNames() (names []string) {
	for _, class := range c.Kinds {
		names = append(names, class.Name)
	}
	return names
}
