// Package experiment plays emulated days over and over, with factors varied, beside baselines, and keeps what came of it
// as tables and charts. Runs are kept in a store: one that was interrupted goes on, and results of another program are
// never mixed in.
package experiment

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"indigousher/internal/baseline"
	"indigousher/internal/config"
	"indigousher/internal/scenario"
)

// Plan is one experiment file.
type Plan struct {
	Name, About string
	Day         string // one that ships, or a file beside this one
	Repeats     int
	Budget      time.Duration // of real time; what is not played by then is left out, and said
	Policies    []string
	Factors     []Factor
	folder      string
}

// Planner is the name of the module among the policies; Standing that of no pilot at all; Two that of even tables whose
// proxies take the less busy of two, by what they know themselves.
const (
	Planner    = "indigousher"
	Standing   = "standing"
	TwoChoices = "two"
)

func policies() []string { return append([]string{Planner, Standing, TwoChoices}, baseline.Names()...) }

// Read reads and checks an experiment file.
func Read(path string) (*Plan, error) {
	text, err := config.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	p := &Plan{Name: strings.TrimSuffix(filepath.Base(path), ".hcl"), Repeats: 5, Budget: 10 * time.Minute,
		Policies: []string{Planner}, folder: filepath.Dir(path)}
	body, diags := config.Open(path, text)
	if !diags.HasErrors() {
		diags = config.Read(body, []config.Field{{Name: "about", Into: &p.About}, {Name: "day", Into: &p.Day, Needed: true},
			{Name: "repeats", Into: &p.Repeats, Least: 1, Most: 10000}, {Name: "budget", Into: &p.Budget, Least: 1},
			{Name: "policies", Into: &p.Policies}}, []config.Block{{Name: "factor", Labels: 1, Read: p.factor}})
	}
	if diags.HasErrors() {
		return nil, config.DiagnosticsError(diags)
	}
	for _, x := range p.Policies {
		if !slices.Contains(policies(), x) {
			return nil, fmt.Errorf("%s: policy %q is not known; there are %v", path, x, policies())
		}
	}
	if _, err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plan) factor(labels []string, b *hclsyntax.Body) hcl.Diagnostics {
	var levels []string
	diags := config.Read(b, []config.Field{{Name: "levels", Into: &levels, Needed: true}}, nil)
	wrong := func(text string) {
		diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: text, Subject: b.SrcRange.Ptr()})
	}
	f := Factor{Name: labels[0]}
	if factors[f.Name] == nil {
		wrong(fmt.Sprintf("factor %q is not known", f.Name))
	}
	for _, l := range levels {
		v, err := strconv.ParseFloat(l, 64)
		if err != nil || v < 0 {
			wrong(fmt.Sprintf("level %q is no number from 0 up", l))
		}
		f.Levels = append(f.Levels, v)
	}
	p.Factors = append(p.Factors, f)
	return diags
}

// load reads the day anew: levels change it.
func (p *Plan) load() (*scenario.Scenario, error) {
	if slices.Contains(scenario.Names(), p.Day) || filepath.IsAbs(p.Day) {
		return scenario.Load(p.Day)
	}
	return scenario.Load(filepath.Join(p.folder, p.Day))
}

// Cell is one combination of levels, for one policy.
type Cell struct {
	Policy string
	Levels []float64 // by factor
}

// Cells lists all combinations, those of one policy together.
func (p *Plan) Cells() []Cell {
	combos := [][]float64{nil}
	for _, f := range p.Factors {
		var next [][]float64
		for _, c := range combos {
			for _, l := range f.Levels {
				next = append(next, append(slices.Clone(c), l))
			}
		}
		combos = next
	}
	var cells []Cell
	for _, policy := range p.Policies {
		for _, c := range combos {
			cells = append(cells, Cell{policy, c})
		}
	}
	return cells
}

// Label names a cell's levels.
func (p *Plan) Label(levels []float64) string {
	var parts []string
	for i, f := range p.Factors {
		parts = append(parts, fmt.Sprintf("%s %g", f.Name, levels[i]))
	}
	return strings.Join(parts, ", ")
}
