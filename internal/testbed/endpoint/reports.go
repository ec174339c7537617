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

// refreshReports measures the load every ReportEvery until the process ends. If ReportLag is above 0, it publishes the
// previous measurement instead of the latest one.
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

// loadMeter measures the load of a process between two calls of measure.
type loadMeter struct {
	process         *process
	last            time.Time // time of the last call of measure
	busyCoreSeconds float64   // value of the process's counter at that time
	served          float64   // value of the process's counter at that time
}

// measure returns the load since the previous call. The caller must hold Endpoint.mu.
func (m *loadMeter) measure() []wire.LoadMetric {
	p := m.process
	span := time.Since(m.last).Seconds()
	m.last = time.Now()
	utilization := math.Min(1, (p.busyCoreSeconds-m.busyCoreSeconds)/span/float64(p.Cores)) * p.noiseFactor()
	rate := (p.served - m.served) / span * p.noiseFactor()
	m.busyCoreSeconds = p.busyCoreSeconds
	m.served = p.served
	return []wire.LoadMetric{
		{Name: "util", Value: utilization},
		{Name: "rate", Value: rate},
		{Name: "waiting", Value: float64(p.waiting)},
		{Name: "in_hand", Value: float64(p.inFlight)},
	}
}

// noiseFactor returns a random factor, with mean about 1, by which a reported value is multiplied. The caller must hold
// mu.
func (e *Endpoint) noiseFactor() float64 { return math.Max(0, 1+e.ReportNoise*e.random.NormFloat64()) }
