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

// Names that identify the listeners when one process hands them over to another.
const (
	streamListenerName = "streams"
	grpcListenerName   = "grpc"
	adminListenerName  = "admin"
)

// listenForProxies opens the listener for the framed protocol. If keys are loaded, it enables TLS on the listener and
// on connections to the endpoint list server.
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

// listenForOperators opens the listener for the admin interface. It does nothing if no address is configured.
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
	maxConnections := 2 * cfg.MaxStreams // an xDS proxy may report its load on a second connection
	d.grpcListener = netutil.LimitListener(d.grpcListener, maxConnections)
	return nil
}

// keepFile stores a duplicate file handle of a listener if a handover socket is configured. While the handle is open,
// connections that no process accepts yet wait in the listener's backlog.
func (d *Daemon) keepFile(name string, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || d.config.Load().Handover == "" {
		return nil
	}
	file, err := tcp.File()
	if err != nil {
		return fmt.Errorf("duplicate the file handle of listener %q: %w", name, err)
	}
	d.listenerFiles[name] = file
	return nil
}

// Files returns duplicate file handles of the listeners by name; it is empty if no handover socket is configured. The
// daemon never closes them: that is up to the caller.
func (d *Daemon) Files() map[string]*os.File { return d.listenerFiles }

// Address returns the address at which proxies connect over the framed protocol.
func (d *Daemon) Address() string { return d.streamListener.Addr().String() }

// GRPCAddress returns the address at which proxies connect over gRPC and xDS; "" if gRPC is disabled.
func (d *Daemon) GRPCAddress() string { return addressOf(d.grpcListener) }

// AdminAddress returns the address of the admin interface; "" if it is disabled.
func (d *Daemon) AdminAddress() string { return addressOf(d.adminListener) }

// addressOf returns the address of a listener; "" for nil.
func addressOf(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// close cancels runContext and closes the listeners.
func (d *Daemon) close() {
	d.terminate()
	for _, l := range []net.Listener{d.streamListener, d.grpcListener, d.adminListener} {
		if l != nil {
			_ = l.Close() // an error means that its server has closed it already
		}
	}
}
