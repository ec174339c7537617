package endpoint

import (
	"math"
	"time"

	"indigousher/internal/wire"
)

func (p *process) currentReport() []wire.LoadMetric {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load
}

// refreshReports makes a new load report every period until the process ends. With a lag, the report that is shown is
// the one before.
func (p *process) refreshReports() {
	ticker := time.NewTicker(p.ReportEvery)
	defer ticker.Stop()
	meter := loadMeter{process: p, last: time.Now()}
	var delayed []wire.LoadMetric
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		fresh := meter.measure()
		if p.ReportLag > 0 {
			p.load = delayed
			delayed = fresh
		} else {
			p.load = fresh
		}
		p.mu.Unlock()
	}
}

// loadMeter measures the load of a process from one report to the next.
type loadMeter struct {
	process         *process
	last            time.Time // of the last report, as are the counters
	busyCoreSeconds float64
	served          float64
}

// measure returns the load since the last call. The caller holds the endpoint's mu.
func (m *loadMeter) measure() []wire.LoadMetric {
	p := m.process
	span := time.Since(m.last).Seconds()
	m.last = time.Now()
	utilization := math.Min(1, (p.busyCoreSeconds-m.busyCoreSeconds)/span/float64(p.Cores)) * p.noise()
	rate := (p.served - m.served) / span * p.noise()
	m.busyCoreSeconds = p.busyCoreSeconds
	m.served = p.served
	return []wire.LoadMetric{
		{Name: "util", Value: utilization},
		{Name: "rate", Value: rate},
		{Name: "waiting", Value: float64(p.waiting)},
		{Name: "in_hand", Value: float64(p.inFlight)},
	}
}

// noise draws the factor by which a reported figure is off. The caller holds mu.
func (e *Endpoint) noise() float64 { return math.Max(0, 1+e.ReportNoise*e.random.NormFloat64()) }
