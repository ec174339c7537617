package handover

import (
	"errors"
	"fmt"
	"net"
	"os"

	"indigousher/recovery"
)

// Takeover is the side that takes over: a new process that has been offered the listeners. Claim comes first, then
// Started or Abort.
type Takeover struct {
	Listeners map[string]net.Listener // by name; the caller's to close after Claim

	conn    *net.UnixConn
	socket  string
	machine *recovery.Successor
}

// RequestTakeover asks the process that runs for its listeners. The error is ErrBusy if it is handing over to another
// one, and os.ErrNotExist if there is no handover socket.
func RequestTakeover(socket string) (*Takeover, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: socket, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("take over: %w", err)
	}
	t := &Takeover{
		Listeners: map[string]net.Listener{},
		conn:      conn,
		socket:    socket,
		machine:   recovery.NewSuccessor(),
	}
	if err := t.requestListeners(); err != nil {
		t.Abort()
		return nil, err
	}
	return t, nil
}

// requestListeners sends the request and takes in the offer.
func (t *Takeover) requestListeners() error {
	if err := send(t.conn, message{Step: stepRequest}, nil); err != nil {
		return err
	}
	m, files, err := receive(t.conn, stepOffer, StepTimeout)
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	defer closeFiles(files) // the listeners have their own handles
	if len(files) != len(m.Names) {
		return fmt.Errorf("%d listeners, %d names: %w", len(files), len(m.Names), ErrBroken)
	}
	return t.addListeners(m.Names, files)
}

func (t *Takeover) addListeners(names []string, files []*os.File) error {
	for i, file := range files {
		listener, err := net.FileListener(file)
		if err != nil {
			return fmt.Errorf("take over %s: %w", names[i], err)
		}
		t.Listeners[names[i]] = listener
	}
	return nil
}

// Claim says that all that can be checked is good, waits until the old process has stopped its controller and takes the
// lock. If the old process is lost instead, the lock tells whether it still serves.
func (t *Takeover) Claim() (*Lock, error) {
	event := recovery.OfferReceived
	var failure error // what led to the end
	for {
		switch t.machine.Next(event) {
		case recovery.SendReady:
			event = recovery.GoReceived
			if failure = t.awaitStop(); failure != nil {
				event = recovery.PeerLost
			}
		case recovery.AcquireLock:
			lock, err := AcquireLock(t.socket)
			if err == nil {
				t.machine.Next(recovery.LockAcquired)
				return lock, nil
			}
			event = recovery.LockRefused
			failure = errors.Join(failure, err)
		default:
			return nil, fmt.Errorf("take over: %w", failure)
		}
	}
}

// awaitStop says that this process can start and waits until the old one has stopped its controller.
func (t *Takeover) awaitStop() error {
	if err := send(t.conn, message{Step: stepReady}, nil); err != nil {
		return err
	}
	return expect(t.conn, stepGo, StepTimeout)
}

// Started reports whether the controller runs; if so the old process is notified, and ends. That it may not hear
// changes nothing: who holds the lock serves.
func (t *Takeover) Started(runs bool) {
	event := recovery.PilotStarted
	if !runs {
		event = recovery.PilotStartFailed
	}
	if t.machine.Next(event) == recovery.SendServing {
		_ = send(t.conn, message{Step: stepServing}, nil)
	}
	_ = t.conn.Close()
}

// Abort gives up: the old process goes on.
func (t *Takeover) Abort() {
	for _, listener := range t.Listeners {
		_ = listener.Close() // a handle of this process
	}
	_ = t.conn.Close()
}
