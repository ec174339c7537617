package daemon

import (
	"fmt"
	"net"
	"os"
)

// keepFile holds a second handle on a listener where it may be handed over: what dials while nobody accepts waits there.
func (d *Daemon) keepFile(name string, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || d.config.Load().Handover == "" {
		return nil
	}
	f, err := tcp.File()
	if err != nil {
		return fmt.Errorf("keep listener: %w", err)
	}
	d.files[name] = f
	return nil
}

// Files returns handles on the listeners, by name. They stay open when the daemon ends; who has them closes them.
func (d *Daemon) Files() map[string]*os.File { return d.files }

func (d *Daemon) close() {
	d.terminate()
	for _, l := range []net.Listener{d.streamListener, d.grpcListener, d.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}
