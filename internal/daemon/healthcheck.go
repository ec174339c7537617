package daemon

import (
	"time"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/transport/healthcheck"
)

const (
	// healthCheckTimeout is how long an endpoint may take to answer a health check.
	healthCheckTimeout = time.Second
	// maxHealthChecks is how many may run at once; a further one counts as denied.
	maxHealthChecks = 64
)

// startHealthChecks makes the health checker, if the configuration asks for health checks.
func (d *Daemon) startHealthChecks(cfg *config.Pilot) {
	if cfg.Probing {
		d.healthChecker = healthcheck.New(d.running, d.options.Dial, lateLoop{d}, healthCheckTimeout, maxHealthChecks)
	}
}

// proberForCore returns the health checker, or one that checks nothing.
func (d *Daemon) proberForCore() controller.HealthChecker {
	if d.healthChecker == nil {
		return healthcheck.Disabled{}
	}
	return d.healthChecker
}
