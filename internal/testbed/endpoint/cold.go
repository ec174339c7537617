package endpoint

import (
	"math"
	"time"
)

// Warmth returns the part of its full speed that a process of some age has.
func (m *Model) Warmth(cold bool, age time.Duration) float64 {
	if !cold || m.Cold <= 0 {
		return 1
	}
	return math.Min(1, m.ColdFrom+(1-m.ColdFrom)*float64(age)/float64(m.Cold))
}

// Slack is how many reqs of the size at hand a cold endpoint's budget is exceeded by before it falls: chance alone
// brings a few together.
const Slack = 4

// Push holds the work that came to a cold process lately.
type Push struct{ sent []arrival }

type arrival struct {
	age  time.Duration
	work float64
}

// Over notes work that comes to a cold process of some age and returns whether that pushes it over, and how much of what
// it bears has come.
func (p *Push) Over(m *Model, age time.Duration, work float64) (over bool, part float64) {
	if age > m.Cold || m.FallMultiple <= 0 {
		return false, 0
	}
	p.sent = append(p.sent, arrival{age, work})
	for len(p.sent) > 0 && age-p.sent[0].age > m.Fall {
		p.sent = p.sent[1:]
	}
	sum := 0.0
	for _, a := range p.sent {
		sum += a.work
	}
	capacity := m.Warmth(true, age) * float64(m.Cores) * m.Speed
	budget := m.FallMultiple * capacity * float64(m.Fall) / float64(time.Millisecond)
	return sum > budget+Slack*work, sum / budget
}
