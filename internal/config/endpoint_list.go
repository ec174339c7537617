package config

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// phaseNames lists the names of endpoint phases in a file, indexed by the wire.Phase constants.
var phaseNames = []string{wire.PhaseReady: "ready", wire.PhaseDraining: "draining", wire.PhaseGone: "gone"}

// ReadList reads and validates an endpoint list file; see ParseList for its format.
func ReadList(path string) (*wire.List, error) {
	text, err := ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read endpoint list: %w", err)
	}
	return ParseList(path, text)
}

// ParseList parses an endpoint list in HCL. The list has a block endpoint "ADDRESS" for each endpoint, with start times
// in RFC 3339. ParseList rejects a list without endpoints, because a file that is still being written may be empty. To
// remove all endpoints, list them with the phase "gone". The name of the file is used in errors.
func ParseList(name string, text []byte) (*wire.List, error) {
	body, diags := ParseBody(name, text)
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	parser := endpointListParser{
		list: &wire.List{Whole: true, Now: uint64(time.Now().UnixMilli())},
		seen: map[string]bool{},
	}
	diags = DecodeBody(body, []Field{{Name: "version", Into: &parser.list.Version}},
		[]Block{{Name: "endpoint", Labels: 1, Read: parser.readEndpoint}})
	if len(parser.list.Entries) == 0 {
		diags = append(diags, Diagnostic(body.MissingItemRange(), "the list has no endpoints"))
	}
	if diags.HasErrors() {
		return nil, DiagnosticsError(diags)
	}
	return parser.list, nil
}

// endpointListParser collects the entries of an endpoint list.
type endpointListParser struct {
	list *wire.List
	seen map[string]bool // addresses of the entries
}

// readEndpoint decodes the block of one endpoint and appends its entry.
func (l *endpointListParser) readEndpoint(labels []string, body *hclsyntax.Body) hcl.Diagnostics {
	entry := wire.Entry{Endpoint: labels[0], Weight: 1}
	phase := phaseNames[wire.PhaseReady]
	started := ""
	diags := DecodeBody(body, []Field{
		{Name: "zone", Into: &entry.Zone, Required: true},
		{Name: "machine", Into: &entry.Machine},
		{Name: "cell", Into: &entry.Cell},
		{Name: "weight", Into: &entry.Weight},
		{Name: "phase", Into: &phase, OneOf: phaseNames},
		{Name: "started", Into: &started},
	}, nil)
	entry.Phase = slices.Index(phaseNames, phase)
	if started != "" {
		at, err := time.Parse(time.RFC3339, started)
		if err != nil {
			diags = append(diags, Diagnostic(body.Attributes["started"].Expr.Range(), "started: %v", err))
		}
		entry.Started = uint64(max(1, at.UnixMilli())) // 0 on the wire means an unknown start, long ago
	}
	if l.seen[entry.Endpoint] {
		diags = append(diags, Diagnostic(body.SrcRange, "duplicate endpoint %q", entry.Endpoint))
	}
	l.seen[entry.Endpoint] = true
	l.list.Entries = append(l.list.Entries, entry)
	return append(diags, checkEntry(body.SrcRange, &entry)...)
}

// checkEntry reports names that are too short or too long for the wire format, and weights that the planner rejects.
func checkEntry(at hcl.Range, entry *wire.Entry) (diags hcl.Diagnostics) {
	diags = append(diags, checkName(at, entry.Endpoint, 1)...)
	diags = append(diags, checkName(at, entry.Zone, 0)...)
	diags = append(diags, checkName(at, entry.Machine, 0)...)
	if !planner.ValidWeight(entry.Weight) {
		diags = append(diags, Diagnostic(at, "weight %g: must be 0 or between %g and %g",
			entry.Weight, 1/planner.MaxValue, planner.MaxValue))
	}
	return diags
}
