package daemon

import (
	"time"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/transport/healthcheck"
)

const (
	// healthCheckTimeout is the time limit for one health check, connecting included.
	healthCheckTimeout = time.Second
	// maxHealthChecks is the maximum number of concurrent health checks. A check beyond it is reported as denied.
	maxHealthChecks = 64
)

// startHealthChecks creates the health checker. It does nothing if health checks are disabled.
func (d *Daemon) startHealthChecks(cfg *config.Pilot) {
	if cfg.Probing {
		d.healthChecker = healthcheck.New(d.runContext, d.options.Dial, deferredLoop{d}, healthCheckTimeout, maxHealthChecks)
	}
}

// healthCheckerForCore returns the health checker. If health checks are disabled, it returns one that checks nothing.
func (d *Daemon) healthCheckerForCore() controller.HealthChecker {
	if d.healthChecker == nil {
		return healthcheck.Disabled{}
	}
	return d.healthChecker
}
