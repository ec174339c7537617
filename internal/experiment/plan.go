// Package experiment runs emulated scenarios repeatedly, with varied factors and under several policies, and presents
// the results as tables and charts. Results are saved in a file, so that an interrupted experiment can be resumed.
// Results of another build of the program are not reused.
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

// Policies of an experiment in addition to those of package baseline.
const (
	// Planner is the policy that uses the program's own planner.
	Planner = "indigousher"
	// StaticTables is the policy without pilots, in which proxies use only their static tables.
	StaticTables = "standing"
	// TwoChoices is the policy of tables with even weights in which proxies choose between two endpoints for each
	// request and take the one that they know to be less loaded.
	TwoChoices = "two"
)

// ErrUnknownPolicy is returned by Read if a plan names a policy that does not exist.
var ErrUnknownPolicy = errors.New("not known")

// Defaults and limits of a plan's settings.
const (
	defaultRepeats = 5
	maxRepeats     = 10000
	defaultBudget  = 10 * time.Minute
)

// Plan describes an experiment, as read from an experiment file.
type Plan struct {
	Name, About string
	Day         string        // scenario: a built-in one, or a file in the folder of the experiment file
	Repeats     int           // number of runs of each cell, with different seeds
	Budget      time.Duration // real time; runs that have not finished by then are left out, and the table shows how many
	Policies    []string      // all others are compared with the first
	Factors     []Factor
	folder      string // that contains the experiment file
}

func policies() []string {
	return append([]string{Planner, StaticTables, TwoChoices}, baseline.Names()...)
}

// Read reads an experiment file and checks it, including its policies and its scenario.
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

// parse parses the text of an experiment file into the plan. The path is used in error messages.
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

// parseFactor parses a factor block and adds the factor to the plan. The block's label is the factor's name.
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
			report(fmt.Sprintf("level %q is not a number of at least 0", text))
		}
		factor.Levels = append(factor.Levels, level)
	}
	p.Factors = append(p.Factors, factor)
	return diags
}

// loadScenario reads the plan's scenario. Each run needs a separate copy, because it modifies the scenario.
func (p *Plan) loadScenario() (*scenario.Scenario, error) {
	if slices.Contains(scenario.Names(), p.Day) || filepath.IsAbs(p.Day) {
		return scenario.Load(p.Day)
	}
	return scenario.Load(filepath.Join(p.folder, p.Day))
}

// Cell is one combination of the factors' levels under one policy. It is run once for each seed.
type Cell struct {
	Policy string
	Levels []float64 // by factor, in the order of the plan
}

// Cells returns all cells of the plan, grouped by policy.
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

// combinations returns all combinations of the factors' levels. The last factor varies fastest. Without factors there
// is one empty combination.
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

// Label returns a readable name of a combination of levels, such as "load 0.5, pilots 2".
func (p *Plan) Label(levels []float64) string {
	var parts []string
	for i, factor := range p.Factors {
		parts = append(parts, fmt.Sprintf("%s %g", factor.Name, levels[i]))
	}
	return strings.Join(parts, ", ")
}
