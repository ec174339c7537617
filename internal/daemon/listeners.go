package daemon

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"

	"golang.org/x/net/netutil"

	"indigousher/internal/config"
	"indigousher/internal/identity"
)

// Names of the listeners, as one process hands them over to another.
const (
	streamListenerName = "streams"
	grpcListenerName   = "grpc"
	adminListenerName  = "admin"
)

// listenForProxies opens the listener of the framed protocol, and has TLS spoken on it and to the endpoint list if
// there are keys.
func (d *Daemon) listenForProxies(cfg *config.Pilot) (err error) {
	d.streamListener, err = d.options.listen(streamListenerName, cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen for proxies: %w", err)
	}
	if err := d.keepFile(streamListenerName, d.streamListener); err != nil {
		return err
	}
	if d.keyStore != nil {
		d.streamListener = tls.NewListener(d.streamListener, d.keyStore.Server(identity.Proxy))
		d.options.Dial = d.withTLS(d.options.Dial)
	}
	return nil
}

// listenForOperators opens the listener of the admin interface, if the configuration names one.
func (d *Daemon) listenForOperators(cfg *config.Pilot) (err error) {
	if cfg.Admin == "" {
		return nil
	}
	d.adminListener, err = d.options.listen(adminListenerName, cfg.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	return d.keepFile(adminListenerName, d.adminListener)
}

// listenForGRPC opens the listener that gRPC and xDS share.
func (d *Daemon) listenForGRPC(cfg *config.Pilot) (err error) {
	d.grpcListener, err = d.options.listen(grpcListenerName, cfg.GRPC)
	if err != nil {
		return fmt.Errorf("listen for gRPC: %w", err)
	}
	if err := d.keepFile(grpcListenerName, d.grpcListener); err != nil {
		return err
	}
	maxConnections := 2 * cfg.MaxStreams // a proxy of xDS may report its load on a second one
	d.grpcListener = netutil.LimitListener(d.grpcListener, maxConnections)
	return nil
}

// keepFile keeps a second handle on a listener, if it may be handed over. What dials while nobody accepts waits there.
func (d *Daemon) keepFile(name string, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || d.config.Load().Handover == "" {
		return nil
	}
	file, err := tcp.File()
	if err != nil {
		return fmt.Errorf("keep listener: %w", err)
	}
	d.listenerFiles[name] = file
	return nil
}

// Files returns handles on the listeners, by name. They stay open when the daemon ends; who has them closes them.
func (d *Daemon) Files() map[string]*os.File { return d.listenerFiles }

// Address returns where proxies join.
func (d *Daemon) Address() string { return d.streamListener.Addr().String() }

// GRPCAddress returns where proxies join over gRPC; "" if they can't.
func (d *Daemon) GRPCAddress() string { return addressOf(d.grpcListener) }

// AdminAddress returns where operators ask; "" if they can't.
func (d *Daemon) AdminAddress() string { return addressOf(d.adminListener) }

func addressOf(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// close ends all that depends on the running context, and closes the listeners.
func (d *Daemon) close() {
	d.terminate()
	for _, l := range []net.Listener{d.streamListener, d.grpcListener, d.adminListener} {
		if l != nil {
			_ = l.Close() // closed already where its server ended it
		}
	}
}
