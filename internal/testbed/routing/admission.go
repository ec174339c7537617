package routing

import (
	"math"

	"indigousher/internal/wire"
)

// unsetRetryMode is a retry mode that leaves the choice to the next wider setting.
const unsetRetryMode = -1

// admission holds the admission level and retry mode that a pilot has set for some request classes.
type admission struct {
	admitted  float64 // fraction of requests to admit, from 0 to 1
	retryMode int     // a retry mode as in RetryAllowed, or unsetRetryMode
}

// unrestricted is the default for classes without a setting: all requests are admitted and the retry mode is unset.
var unrestricted = admission{admitted: 1, retryMode: unsetRetryMode}

// setAdmission stores the admission level and retry mode of an operation, for one table or for all tables.
func (r *Router) setAdmission(o wire.Op) {
	set := admission{admitted: o.Weight, retryMode: o.RetryMode}
	if o.Table == wire.AllTables {
		r.admissionOfAll[o.Classes] = set
	} else {
		r.table(o.Table).admission[o.Classes] = set
	}
}

// Admit reports whether to admit a request of a class. The request is admitted at random, with the lower of the two
// fractions set for its table and for all tables. Admit draws no random number if that fraction is 1.
func (r *Router) Admit(class int) bool {
	ofTable := admissionFor(r.byClass[class].admission, class)
	ofAll := admissionFor(r.admissionOfAll, class)
	admitted := math.Min(ofTable.admitted, ofAll.admitted)
	return admitted >= 1 || r.random.Float64() < admitted
}

// RetryMode returns the retry mode of a class: the one set for its table, else the one set for all tables, else the
// default of the policy.
func (r *Router) RetryMode(class int) int {
	if set := admissionFor(r.byClass[class].admission, class); set.retryMode >= 0 {
		return set.retryMode
	}
	if set := admissionFor(r.admissionOfAll, class); set.retryMode >= 0 {
		return set.retryMode
	}
	return r.policy.RetryMode
}

// admissionFor returns the setting whose class mask includes a class, or unrestricted if there is none. A mask of 0
// includes all classes.
func admissionFor(byMask map[int]admission, class int) admission {
	for mask, set := range byMask {
		if mask == 0 || mask&(1<<class) != 0 {
			return set
		}
	}
	return unrestricted
}
