package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/identity"
)

const (
	// expiryWarning is the remaining validity of the certificate below which warnings are logged. It leaves enough time to
	// issue a new certificate manually.
	expiryWarning = 7 * 24 * time.Hour
	// keyCheckInterval is the interval between checks of the certificate's expiry and of errors when reloading key files.
	keyCheckInterval = time.Minute
)

// loadKeys loads the controller's certificate and private key, checks that the certificate was issued to this
// controller, and registers a metric of the time until it expires. It does nothing if the configuration specifies plain
// text.
func (d *Daemon) loadKeys(cfg *config.Pilot) error {
	if cfg.Plain {
		return nil
	}
	log := d.options.Log.Named("keys")
	var err error
	d.keyStore, err = identity.Load(cfg.Keys, func(from net.Addr, err error) {
		log.Warn("peer rejected", zap.Stringer("from", from), zap.Error(err))
	})
	if err != nil {
		return err
	}
	if own := d.keyStore.Identity(); own.Role != identity.Pilot || own.Name != cfg.Name || own.Zone != cfg.Zone {
		return fmt.Errorf("keys: the certificate was issued to %s, not to pilot %s in zone %s", own, cfg.Name, cfg.Zone)
	}
	return d.registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "indigousher",
		Name:      "certificate_expires_in_seconds",
		Help:      "Time until this pilot's certificate expires, in seconds.",
	}, func() float64 { return time.Until(d.keyStore.Expires()).Seconds() }))
}

// withTLS wraps dial so that connections to the endpoint list server use TLS. Other connections, which are health
// checks of endpoints, stay plain text because proxies connect to endpoints in plain text too.
func (d *Daemon) withTLS(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != d.config.Load().ListAddress {
			return conn, err
		}
		return tls.Client(conn, d.keyStore.Client(identity.Source)), nil
	}
}

// watchKeys calls checkKeys every keyCheckInterval until ctx ends.
func (d *Daemon) watchKeys(ctx context.Context) error {
	tick := time.NewTicker(keyCheckInterval)
	defer tick.Stop()
	for {
		d.checkKeys()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// checkKeys logs a warning if the certificate expires within expiryWarning, and an error if the key files could not be
// reloaded.
func (d *Daemon) checkKeys() {
	if left := time.Until(d.keyStore.Expires()); left < expiryWarning {
		d.options.Log.Warn("certificate expires soon", zap.Duration("in", left.Round(time.Second)))
	}
	if err := d.keyStore.Err(); err != nil {
		d.options.Log.Error("keys can't be reloaded, keeping the current ones", zap.Error(err))
	}
}
