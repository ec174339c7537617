package routing

import (
	"math"

	"indigousher/internal/wire"
)

// unsetRetryMode is a retry mode that leaves the choice to the next wider setting.
const unsetRetryMode = -1

// admission is what a pilot has set for some classes.
type admission struct {
	admitted  float64 // fraction of the requests
	retryMode int     // see RetryAllowed
}

// unrestricted holds for classes for which nothing was set.
var unrestricted = admission{admitted: 1, retryMode: unsetRetryMode}

// setAdmission sets the admission of some classes in one table or in all.
func (r *Router) setAdmission(o wire.Op) {
	set := admission{admitted: o.Weight, retryMode: o.RetryMode}
	if o.Table == wire.AllTables {
		r.admissionOfAll[o.Classes] = set
	} else {
		r.table(o.Table).admission[o.Classes] = set
	}
}

// Admit draws whether a request of a class is admitted: by the stricter of its table's level and that for all tables.
// It takes no random number where all are admitted.
func (r *Router) Admit(class int) bool {
	ofTable := admissionFor(r.byClass[class].admission, class)
	ofAll := admissionFor(r.admissionOfAll, class)
	admitted := math.Min(ofTable.admitted, ofAll.admitted)
	return admitted >= 1 || r.random.Float64() < admitted
}

// RetryMode returns how requests of a class are retried: as set for its table, else for all tables, else by the policy.
func (r *Router) RetryMode(class int) int {
	if set := admissionFor(r.byClass[class].admission, class); set.retryMode >= 0 {
		return set.retryMode
	}
	if set := admissionFor(r.admissionOfAll, class); set.retryMode >= 0 {
		return set.retryMode
	}
	return r.policy.RetryMode
}

// admissionFor returns the setting whose mask names a class. A mask of 0 names all classes.
func admissionFor(byMask map[int]admission, class int) admission {
	for mask, set := range byMask {
		if mask == 0 || mask&(1<<class) != 0 {
			return set
		}
	}
	return unrestricted
}
