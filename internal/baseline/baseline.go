// Package baseline holds routing policies to compare the planner with, in rehearsals and experiments. On purpose they
// pace nothing and keep no rule; none ships in a pilot.
package baseline

import (
	"errors"
	"fmt"

	"indigousher/internal/controller"
)

// Factory makes a policy for one pilot.
type Factory func(seed int64, settings map[string]any) controller.Decider

// ErrUnknownPolicy is returned by Named for a name that is not in Names.
var ErrUnknownPolicy = errors.New("not known")

// How often policies that follow load renew their tables, in ms.
const (
	onChangesOnly = 0
	reportEveryMs = 1000 // about as often as load reports come
	oracleEveryMs = 100
)

const oracleName = "oracle"

// named is a policy under its name.
type policySpec struct {
	name      string
	weights   weightFunc
	everyMs   float64
	ownTables bool
}

// policies lists the policies but the oracle, in the order in which they are shown.
var policies = []policySpec{
	{name: "even", weights: (*policy).even, everyMs: onChangesOnly},
	{name: "subset", weights: (*policy).subset, everyMs: onChangesOnly, ownTables: true},
	{name: "aperture", weights: (*policy).aperture, everyMs: onChangesOnly, ownTables: true},
	{name: "inverse", weights: (*policy).inverse, everyMs: reportEveryMs},
	{name: "feedback", weights: (*policy).feedback, everyMs: reportEveryMs},
}

// Names lists the policies that Named knows, in the order in which they are shown.
func Names() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.name)
	}
	return append(names, oracleName)
}

// Named returns a policy by name.
func Named(name string) (Factory, error) {
	if name == oracleName {
		return newOracle, nil
	}
	for _, p := range policies {
		if p.name == name {
			return func(seed int64, _ map[string]any) controller.Decider { return newPolicy(p, seed) }, nil
		}
	}
	return nil, fmt.Errorf("baseline %q is %w; there are %v", name, ErrUnknownPolicy, Names())
}

// Oracle gives weights by the true load, which no pilot can know. Whoever runs it must hand that in.
type Oracle struct{ *policy }

func newOracle(seed int64, _ map[string]any) controller.Decider {
	return &Oracle{policy: newPolicy(policySpec{name: oracleName, weights: (*policy).oracle, everyMs: oracleEveryMs}, seed)}
}

// SetTrueLoad says where the true load is to be had: the busy fraction of an endpoint's cores, and whether it runs.
func (o *Oracle) SetTrueLoad(trueLoad func(endpoint int) (busy float64, runs bool)) {
	o.trueLoad = trueLoad
}
