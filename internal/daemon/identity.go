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
	// expiryWarning is how long before the certificate's end warnings begin; long enough to issue another one by hand.
	expiryWarning = 7 * 24 * time.Hour
	// keyCheckInterval is how often the certificate's end and the files of keys are looked at.
	keyCheckInterval = time.Minute
)

// loadKeys loads this controller's keys, unless the configuration has all in plain text, checks that they are its own,
// and shows when they end.
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
		return fmt.Errorf("keys: the certificate is of %s, this is pilot %s of %s", own, cfg.Name, cfg.Zone)
	}
	return d.registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "indigousher",
		Name:      "certificate_expires_in_seconds",
		Help:      "Time until this pilot's certificate ends.",
	}, func() float64 { return time.Until(d.keyStore.Expires()).Seconds() }))
}

// withTLS returns a dial that speaks TLS to the server of the endpoint list. Endpoints are checked in plain text, as
// their proxies speak to them.
func (d *Daemon) withTLS(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != d.config.Load().ListAddress {
			return conn, err
		}
		return tls.Client(conn, d.keyStore.Client(identity.Source)), nil
	}
}

// watchKeys warns of keys that end soon and of files that can't be read, until ctx ends.
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

func (d *Daemon) checkKeys() {
	if left := time.Until(d.keyStore.Expires()); left < expiryWarning {
		d.options.Log.Warn("certificate expires soon", zap.Duration("in", left.Round(time.Second)))
	}
	if err := d.keyStore.Err(); err != nil {
		d.options.Log.Error("keys can't be reloaded, keeping the current ones", zap.Error(err))
	}
}
