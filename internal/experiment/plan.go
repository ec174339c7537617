// Package experiment plays emulated scenarios over and over, with factors varied, beside baselines, and shows the
// results as tables and charts. Results are kept in a store: an experiment that was interrupted goes on, and results of
// another program are never mixed in.
package experiment

import (
	"errors"
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

// Policies of an experiment beside those of package baseline.
const (
	// Planner is the planner that ships.
	Planner = "indigousher"
	// Standing is no pilot at all: the proxies keep their static tables.
	Standing = "standing"
	// TwoChoices is even tables whose proxies take the less busy of two endpoints, by what they know themselves.
	TwoChoices = "two"
)

// ErrUnknownPolicy is returned by Read for a plan with a policy that there is not.
var ErrUnknownPolicy = errors.New("not known")

// Defaults and bounds of a plan.
const (
	defaultRepeats = 5
	maxRepeats     = 10000
	defaultBudget  = 10 * time.Minute
)

// Plan is one experiment file.
type Plan struct {
	Name, About string
	Day         string        // scenario: one that ships, or a file beside this one
	Repeats     int           // seeds for each cell
	Budget      time.Duration // of real time; what is not played by then is left out, and the table says so
	Policies    []string      // the first is the one to compare with
	Factors     []Factor
	folder      string // of the file
}

func policies() []string { return append([]string{Planner, Standing, TwoChoices}, baseline.Names()...) }

// Read reads and checks an experiment file.
func Read(path string) (*Plan, error) {
	text, err := config.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read experiment: %w", err)
	}
	p := &Plan{
		Name:     strings.TrimSuffix(filepath.Base(path), ".hcl"),
		Repeats:  defaultRepeats,
		Budget:   defaultBudget,
		Policies: []string{Planner},
		folder:   filepath.Dir(path),
	}
	if err := p.parse(path, text); err != nil {
		return nil, err
	}
	for _, policy := range p.Policies {
		if !slices.Contains(policies(), policy) {
			return nil, fmt.Errorf("%s: policy %q is %w; there are %v", path, policy, ErrUnknownPolicy, policies())
		}
	}
	if _, err := p.loadScenario(); err != nil {
		return nil, err
	}
	return p, nil
}

// parse reads the text of a plan into it.
func (p *Plan) parse(path string, text []byte) error {
	body, diags := config.ParseBody(path, text)
	if !diags.HasErrors() {
		fields := []config.Field{
			{Name: "about", Into: &p.About},
			{Name: "day", Into: &p.Day, Required: true},
			{Name: "repeats", Into: &p.Repeats, Min: 1, Max: maxRepeats},
			{Name: "budget", Into: &p.Budget, Min: 1},
			{Name: "policies", Into: &p.Policies},
		}
		diags = config.DecodeBody(body, fields, []config.Block{{Name: "factor", Labels: 1, Read: p.parseFactor}})
	}
	if diags.HasErrors() {
		return config.DiagnosticsError(diags)
	}
	return nil
}

// parseFactor reads a factor block; its label is the factor's name.
func (p *Plan) parseFactor(labels []string, block *hclsyntax.Body) hcl.Diagnostics {
	var levels []string
	diags := config.DecodeBody(block, []config.Field{{Name: "levels", Into: &levels, Required: true}}, nil)
	report := func(text string) {
		diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: text, Subject: block.SrcRange.Ptr()})
	}
	factor := Factor{Name: labels[0]}
	if factorEffects[factor.Name] == nil {
		report(fmt.Sprintf("factor %q is not known", factor.Name))
	}
	for _, text := range levels {
		level, err := strconv.ParseFloat(text, 64)
		if err != nil || level < 0 {
			report(fmt.Sprintf("level %q is no number from 0 up", text))
		}
		factor.Levels = append(factor.Levels, level)
	}
	p.Factors = append(p.Factors, factor)
	return diags
}

// loadScenario reads the scenario anew: each run changes its own.
func (p *Plan) loadScenario() (*scenario.Scenario, error) {
	if slices.Contains(scenario.Names(), p.Day) || filepath.IsAbs(p.Day) {
		return scenario.Load(p.Day)
	}
	return scenario.Load(filepath.Join(p.folder, p.Day))
}

// Cell is one combination of levels, for one policy.
type Cell struct {
	Policy string
	Levels []float64 // by factor, in the order of the plan
}

// Cells lists all cells, those of one policy together.
func (p *Plan) Cells() []Cell {
	combinations := p.combinations()
	var cells []Cell
	for _, policy := range p.Policies {
		for _, levels := range combinations {
			cells = append(cells, Cell{Policy: policy, Levels: levels})
		}
	}
	return cells
}

// combinations lists all combinations of levels; the last factor varies fastest.
func (p *Plan) combinations() [][]float64 {
	combinations := [][]float64{nil}
	for _, factor := range p.Factors {
		var next [][]float64
		for _, levels := range combinations {
			for _, level := range factor.Levels {
				next = append(next, append(slices.Clone(levels), level))
			}
		}
		combinations = next
	}
	return combinations
}

// Label names a combination of levels.
func (p *Plan) Label(levels []float64) string {
	var parts []string
	for i, factor := range p.Factors {
		parts = append(parts, fmt.Sprintf("%s %g", factor.Name, levels[i]))
	}
	return strings.Join(parts, ", ")
}
