package scenario

import (
	"cmp"
	"path"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/config"
)

// Read parses and validates a scenario; name is the path of its file.
func Read(name string, text []byte) (*Scenario, error) {
	body, diags := config.ParseBody(name, text)
	if diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	s := defaults(strings.TrimSuffix(path.Base(name), extension))
	if diags := s.inherit(body); diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	diags = config.DecodeBody(body, append(s.listAttributes(), s.attributes()...), append(s.Blocks(), s.blocks()...))
	if !diags.HasErrors() {
		diags = append(diags, s.validate(body.MissingItemRange())...)
	}
	if diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	s.complete()
	return s, nil
}

// inherit copies the fleet, the settings and the load of the scenario that the attribute like names, but not its
// faults. Request classes, demands and groups are not copied if the body has blocks of their type.
func (s *Scenario) inherit(body *hclsyntax.Body) hcl.Diagnostics {
	like := body.Attributes["like"]
	if like == nil {
		return nil
	}
	likeOnly := &hclsyntax.Body{Attributes: hclsyntax.Attributes{"like": like}}
	field := config.Field{Name: "like", Into: &s.Base, OneOf: Names()}
	if diags := config.DecodeBody(likeOnly, []config.Field{field}, nil); diags.HasErrors() {
		return diags
	}
	base, err := Load(s.Base)
	if err != nil {
		return hcl.Diagnostics{{Severity: hcl.DiagError, Summary: err.Error(), Subject: like.Expr.Range().Ptr()}}
	}
	base.Name = s.Name
	base.Base = s.Base
	base.About = ""
	base.Faults = nil
	*s = *base
	for _, block := range body.Blocks {
		switch block.Type {
		case "req_kind":
			s.Kinds = nil
		case "demand":
			s.Demands = nil
		case "endpoints":
			s.Groups = nil
		}
	}
	return nil
}

// complete derives the settings that follow from others.
func (s *Scenario) complete() {
	s.ProxyZones = slices.Repeat(s.ProxyZones, s.ProxyMultiple)
	s.ProxyMultiple = 1 // now part of ProxyZones, which another scenario may inherit
	s.Proxies = len(s.ProxyZones)
	s.Instances = max(1, len(s.PilotZones))
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

// validate checks the settings against each other.
func (s *Scenario) validate(at hcl.Range) (diags hcl.Diagnostics) {
	errorf := func(format string, args ...any) {
		diags = append(diags, config.Diagnostic(at, format, args...))
	}
	if len(s.ProxyZones) == 0 || len(s.Groups) == 0 || len(s.Demands) == 0 {
		errorf("a day wants proxies, endpoints and demand")
	}
	for _, zone := range slices.Concat(s.PilotZones, s.ProxyZones) {
		if !slices.Contains(s.Zones, zone) {
			errorf("%q is no zone of this day", zone)
		}
	}
	for _, demand := range s.Demands {
		if !slices.Contains(s.ClassNames(), demand.Kind) {
			errorf("demand for %q, which is no req_kind", demand.Kind)
		}
	}
	for _, fault := range s.Faults {
		if fault.At > s.Length {
			errorf("trouble %q comes after the day's end", fault.What)
		}
	}
	return diags
}
