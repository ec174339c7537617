package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"indigousher/internal/keys"
	"indigousher/internal/terms"
)

// loadKeys loads the keys, if the terms name any, and shows when they end.
func (d *Daemon) loadKeys(t *terms.Pilot) (err error) {
	if t.Plain {
		return nil
	}
	log := d.options.Log.Named("keys")
	if d.keyStore, err = keys.Load(t.Keys, func(from net.Addr, err error) {
		log.Warn("peer not let in", zap.Stringer("from", from), zap.Error(err))
	}); err != nil {
		return err
	}
	if i := d.keyStore.Identity(); i.Role != keys.Pilot || i.Name != t.Name || i.Zone != t.Zone {
		return fmt.Errorf("keys: the certificate is of %s, this is pilot %s of %s", i, t.Name, t.Zone)
	}
	return d.registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "indigousher",
		Name: "certificate_expires_in_seconds", Help: "Time until this pilot's certificate ends."},
		func() float64 { return time.Until(d.keyStore.Expires()).Seconds() }))
}

// withTLS dials under TLS those who hold the list; endpoints are probed in plain text, as their proxies speak to them.
func (d *Daemon) withTLS(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != d.config.Load().ListAddress {
			return conn, err
		}
		return tls.Client(conn, d.keyStore.Client(keys.Source)), nil
	}
}

// watchKeys warns of keys that end soon and of files that can't be read.
func (d *Daemon) watchKeys(ctx context.Context) error {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		if left := time.Until(d.keyStore.Expires()); left < expiryWarning {
			d.options.Log.Warn("certificate ends soon", zap.Duration("in", left.Round(time.Second)))
		}
		if err := d.keyStore.Wrong(); err != nil {
			d.options.Log.Error("keys can't be read anew, the old ones stand", zap.Error(err))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}
