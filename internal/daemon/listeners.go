package daemon

import (
	"fmt"
	"net"
	"os"
)

// keep holds a second handle on a listener where it may be handed over: what dials while nobody accepts waits there.
func (d *Daemon) keep(name string, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || d.terms.Load().Handover == "" {
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
	d.die()
	for _, l := range []net.Listener{d.streams, d.grpc, d.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}
