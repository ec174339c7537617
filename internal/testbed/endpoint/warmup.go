package endpoint

import (
	"math"
	"time"
)

// OverloadSlack is the tolerance of the overload check during warm-up: the work may exceed its budget by this many
// times the work of the current request, because a few requests can arrive close together by chance.
const OverloadSlack = 4

// SpeedFraction returns the speed of a process of a given age as a fraction of its full speed. It grows linearly during
// the warm-up of a cold process.
func (m *Model) SpeedFraction(cold bool, age time.Duration) float64 {
	if !cold || m.WarmUp <= 0 {
		return 1
	}
	return math.Min(1, m.WarmUpFrom+(1-m.WarmUpFrom)*float64(age)/float64(m.WarmUp))
}

// overloadBudget returns how much work a cold process of a given age accepts within OverloadWindow without failing, in
// ms of work of a core with speed 1.
func (m *Model) overloadBudget(age time.Duration) float64 {
	capacity := m.SpeedFraction(true, age) * float64(m.Cores) * m.Speed
	return m.OverloadMultiple * capacity * float64(m.OverloadWindow) / float64(time.Millisecond)
}

// WarmUpLoad tracks the work that arrived at a cold process within the last OverloadWindow.
type WarmUpLoad struct{ arrivals []arrival }

// arrival holds the work of one request, in ms, and the age of the process when the request arrived.
type arrival struct {
	age    time.Duration
	workMs float64
}

// Add adds the work of a request that arrives at a cold process of a given age. It returns whether the process is
// overloaded and therefore fails, and the work within the window as a fraction of the budget.
func (l *WarmUpLoad) Add(m *Model, age time.Duration, workMs float64) (overloaded bool, fraction float64) {
	if age > m.WarmUp || m.OverloadMultiple <= 0 {
		return false, 0
	}
	l.arrivals = append(l.arrivals, arrival{age, workMs})
	for len(l.arrivals) > 0 && age-l.arrivals[0].age > m.OverloadWindow {
		l.arrivals = l.arrivals[1:]
	}
	sum := 0.0
	for _, a := range l.arrivals {
		sum += a.workMs
	}
	budget := m.overloadBudget(age)
	return sum > budget+OverloadSlack*workMs, sum / budget
}
