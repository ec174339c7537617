package endpoint

import (
	"math"
	"time"
)

// OverloadSlack is by how many requests of the size at hand the work sent to an endpoint that warms up may exceed its
// budget: chance alone brings a few together.
const OverloadSlack = 4

// SpeedFraction returns the fraction of its full speed that a process of some age has: it grows linearly while the
// process warms up.
func (m *Model) SpeedFraction(cold bool, age time.Duration) float64 {
	if !cold || m.WarmUp <= 0 {
		return 1
	}
	return math.Min(1, m.WarmUpFrom+(1-m.WarmUpFrom)*float64(age)/float64(m.WarmUp))
}

// overloadBudget returns the work, in ms at full speed of one core, that a process of some age bears in a window.
func (m *Model) overloadBudget(age time.Duration) float64 {
	capacity := m.SpeedFraction(true, age) * float64(m.Cores) * m.Speed
	return m.OverloadMultiple * capacity * float64(m.OverloadWindow) / float64(time.Millisecond)
}

// WarmUpLoad is the work that came to a cold process within the last window.
type WarmUpLoad struct{ arrivals []arrival }

// arrival is the work of one request and the age at which the process got it.
type arrival struct {
	age    time.Duration
	workMs float64
}

// Add counts work that comes to a cold process of some age. It returns whether that overloads the process, so that it
// fails, and what fraction of its budget has come.
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
