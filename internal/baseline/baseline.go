// Package baseline implements simple routing policies with which rehearsals and experiments compare the planner. The
// policies deliberately neither limit their rate of changes nor observe the rules of the audit. They are not
// available in production pilots.
package baseline

import (
	"errors"
	"fmt"

	"indigousher/internal/controller"
)

// Factory creates a policy for one pilot.
type Factory func(seed int64, settings map[string]any) controller.Decider

// ErrUnknownPolicy is the error that Lookup returns, wrapped, for a name that Names does not return.
var ErrUnknownPolicy = errors.New("unknown policy")

// Intervals in ms at which policies renew their tables. onChangesOnly means only on changes of the endpoint list.
const (
	onChangesOnly = 0
	reportEveryMs = 1000 // close to the usual period of load reports
	oracleEveryMs = 100
)

// oracleName is the name of the policy with the true load.
const oracleName = "oracle"

// policySpec describes a policy. Its fields have the same meaning as those of policy.
type policySpec struct {
	name      string
	weights   weightFunc
	everyMs   float64
	ownTables bool
}

// policies lists all policies except the oracle, in the order of Names.
var policies = []policySpec{
	{name: "even", weights: (*policy).even, everyMs: onChangesOnly},
	{name: "subset", weights: (*policy).subset, everyMs: onChangesOnly, ownTables: true},
	{name: "aperture", weights: (*policy).aperture, everyMs: onChangesOnly, ownTables: true},
	{name: "inverse", weights: (*policy).inverse, everyMs: reportEveryMs},
	{name: "feedback", weights: (*policy).feedback, everyMs: reportEveryMs},
}

// Names returns the names of all policies, in the order in which reports show them.
func Names() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.name)
	}
	return append(names, oracleName)
}

// Lookup returns the factory of the policy with the given name.
func Lookup(name string) (Factory, error) {
	if name == oracleName {
		return newOracle, nil
	}
	for _, p := range policies {
		if p.name == name {
			return func(seed int64, _ map[string]any) controller.Decider { return newPolicy(p, seed) }, nil
		}
	}
	return nil, fmt.Errorf("baseline %q: %w, want one of %v", name, ErrUnknownPolicy, Names())
}

// Oracle is a policy that sets weights by the true load, which a real pilot cannot observe. The caller must provide
// the true load with SetTrueLoad.
type Oracle struct{ *policy }

// newOracle is the Factory of Oracle.
func newOracle(seed int64, _ map[string]any) controller.Decider {
	return &Oracle{policy: newPolicy(policySpec{
		name: oracleName, weights: (*policy).oracle, everyMs: oracleEveryMs,
	}, seed)}
}

// SetTrueLoad sets the function that returns the true load of an endpoint: the busy fraction of its cores, and
// whether it is running. Until it is set, all endpoints count as idle and running.
func (o *Oracle) SetTrueLoad(trueLoad func(endpoint int) (busy float64, runs bool)) {
	o.trueLoad = trueLoad
}
