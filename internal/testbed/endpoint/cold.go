package endpoint

import (
	"math"
	"time"
)

// SpeedFraction returns the part of its full speed that a process of some age has.
func (m *Model) SpeedFraction(cold bool, age time.Duration) float64 {
	if !cold || m.WarmUp <= 0 {
		return 1
	}
	return math.Min(1, m.WarmUpFrom+(1-m.WarmUpFrom)*float64(age)/float64(m.WarmUp))
}

// OverloadSlack is how many reqs of the size at hand a cold endpoint's budget is exceeded by before it falls: chance alone
// brings a few together.
const OverloadSlack = 4

// WarmUpLoad holds the work that came to a cold process lately.
type WarmUpLoad struct{ arrivals []arrival }

type arrival struct {
	age  time.Duration
	work float64
}

// Add notes work that comes to a cold process of some age and returns whether that pushes it over, and how much of what
// it bears has come.
func (p *WarmUpLoad) Add(m *Model, age time.Duration, work float64) (over bool, part float64) {
	if age > m.WarmUp || m.OverloadMultiple <= 0 {
		return false, 0
	}
	p.arrivals = append(p.arrivals, arrival{age, work})
	for len(p.arrivals) > 0 && age-p.arrivals[0].age > m.OverloadWindow {
		p.arrivals = p.arrivals[1:]
	}
	sum := 0.0
	for _, a := range p.arrivals {
		sum += a.work
	}
	capacity := m.SpeedFraction(true, age) * float64(m.Cores) * m.Speed
	budget := m.OverloadMultiple * capacity * float64(m.OverloadWindow) / float64(time.Millisecond)
	return sum > budget+OverloadSlack*work, sum / budget
}
