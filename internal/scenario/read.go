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

// Read parses and validates the text of a scenario file. name is the path of the file; its base name without
// extension becomes the name of the scenario.
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

// inherit copies fleet, settings and load, but not the faults, from the scenario that the attribute like names. It
// does not copy request classes, demands or groups if the body has blocks of the same type. Without the attribute
// like it does nothing.
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

// complete sets the fields that are derived from others, and sorts the faults by time.
func (s *Scenario) complete() {
	s.ProxyZones = slices.Repeat(s.ProxyZones, s.ProxyMultiple)
	s.ProxyMultiple = 1 // ProxyZones is already repeated; an inheriting scenario must not repeat it again
	s.Proxies = len(s.ProxyZones)
	s.Instances = max(1, len(s.PilotZones))
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

// validate checks that the settings are consistent with each other. All errors are reported at the position at.
func (s *Scenario) validate(at hcl.Range) (diags hcl.Diagnostics) {
	errorf := func(format string, args ...any) {
		diags = append(diags, config.Diagnostic(at, format, args...))
	}
	if len(s.ProxyZones) == 0 || len(s.Groups) == 0 || len(s.Demands) == 0 {
		errorf("a scenario needs proxies, endpoints and demand")
	}
	for _, zone := range slices.Concat(s.PilotZones, s.ProxyZones) {
		if !slices.Contains(s.Zones, zone) {
			errorf("%q is not a zone of this scenario", zone)
		}
	}
	for _, demand := range s.Demands {
		if !slices.Contains(s.ClassNames(), demand.Class) {
			errorf("demand for %q, which is not a req_kind", demand.Class)
		}
	}
	for _, fault := range s.Faults {
		if fault.At > s.Length {
			errorf("trouble %q starts after the end of the scenario", fault.Type)
		}
	}
	return diags
}
