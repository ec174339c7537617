package handover

import (
	"errors"
	"fmt"
	"net"
	"os"

	"indigousher/recovery"
)

// Takeover is the successor's side of a handover, in a new process that has received the listeners. Claim must be
// called first, then Started or Abort.
type Takeover struct {
	Listeners map[string]net.Listener // by name; the caller must close them after Claim

	conn    *net.UnixConn
	socket  string
	machine *recovery.Successor
}

// RequestTakeover requests the listeners of the running process. The error wraps ErrBusy if that process is handing
// over to another process, and os.ErrNotExist if there is no handover socket.
func RequestTakeover(socket string) (*Takeover, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: socket, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("connect to handover socket: %w", err)
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

// requestListeners sends the request and receives the listeners.
func (t *Takeover) requestListeners() error {
	if err := send(t.conn, message{Step: stepRequest}, nil); err != nil {
		return err
	}
	m, files, err := receive(t.conn, stepOffer, StepTimeout)
	if err != nil {
		return fmt.Errorf("request listeners: %w", err)
	}
	defer closeFiles(files) // the listeners have their own descriptors
	if len(files) != len(m.Names) {
		return fmt.Errorf("received %d listeners and %d names: %w", len(files), len(m.Names), ErrConnection)
	}
	return t.addListeners(m.Names, files)
}

// addListeners creates a listener from each file and adds it to Listeners.
func (t *Takeover) addListeners(names []string, files []*os.File) error {
	for i, file := range files {
		listener, err := net.FileListener(file)
		if err != nil {
			return fmt.Errorf("take over listener %s: %w", names[i], err)
		}
		t.Listeners[names[i]] = listener
	}
	return nil
}

// Claim notifies the predecessor that this process is ready, waits until the predecessor has stopped its controller and
// acquires the lock. If the connection to the predecessor is lost, Claim tries the lock, which is free only if the
// predecessor does not serve.
func (t *Takeover) Claim() (*Lock, error) {
	event := recovery.OfferReceived
	var failure error // the reason if the takeover fails
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
			return nil, fmt.Errorf("claim lock for takeover: %w", failure)
		}
	}
}

// awaitStop notifies the predecessor that this process is ready and waits until the predecessor has stopped its
// controller.
func (t *Takeover) awaitStop() error {
	if err := send(t.conn, message{Step: stepReady}, nil); err != nil {
		return err
	}
	return expect(t.conn, stepGo, StepTimeout)
}

// Started ends the handover after the controller has started or, if runs is false, has failed to start. If it runs, the
// predecessor is notified, and exits. Losing this message is harmless, because the process that holds the lock serves.
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

// Abort ends the handover and closes the listeners, so that the predecessor resumes.
func (t *Takeover) Abort() {
	for _, listener := range t.Listeners {
		_ = listener.Close() // closes only this process's descriptor
	}
	_ = t.conn.Close()
}
