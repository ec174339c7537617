package handover

import (
	"errors"
	"fmt"
	"net"

	"indigousher/recovery"
)

// Taking is what the new process has been offered.
type Taking struct {
	conn      *net.UnixConn
	socket    string
	machine   *recovery.New
	Listeners map[string]net.Listener
}

// Take asks a running process for its listeners.
func Take(path string) (*Taking, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("take over: %w", err)
	}
	t := &Taking{conn: c, socket: path, machine: recovery.NewSide(), Listeners: map[string]net.Listener{}}
	if err := send(c, message{Step: stepRequest}, nil); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	m, files, err := receive(c, stepOffer, Within)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("take over: %w", err), c.Close())
	}
	defer closeFiles(files)
	if len(files) != len(m.Names) {
		return nil, errors.Join(fmt.Errorf("%d listeners, %d names: %w", len(files), len(m.Names), ErrBroken), c.Close())
	}
	for i, f := range files {
		l, err := net.FileListener(f)
		if err != nil {
			t.Drop()
			return nil, fmt.Errorf("take over %s: %w", m.Names[i], err)
		}
		t.Listeners[m.Names[i]] = l
	}
	return t, nil
}

// Claim says that all that can be checked is good, waits until the old pilot has stopped and takes the claim. If the old
// process is lost instead, the claim tells whether it still serves.
func (t *Taking) Claim() (*Claimed, error) {
	e := recovery.Offered
	var why error
	for {
		switch t.machine.Next(e) {
		case recovery.SayReady:
			e = recovery.GoCame
			if why = send(t.conn, message{Step: stepReady}, nil); why == nil {
				why = expect(t.conn, stepGo, Within)
			}
			if why != nil {
				e = recovery.Lost
			}
		case recovery.Claim:
			c, err := GetClaim(t.socket)
			if err == nil {
				t.machine.Next(recovery.Claimed)
				return c, nil
			}
			e, why = recovery.Refused, errors.Join(why, err)
		default:
			return nil, fmt.Errorf("take over: %w", why)
		}
	}
}

// Started tells whether the pilot runs; if so the old process is told, and ends. That it can't be told changes nothing:
// who holds the claim serves.
func (t *Taking) Started(runs bool) {
	e := recovery.Started
	if !runs {
		e = recovery.Failed
	}
	if t.machine.Next(e) == recovery.SayServing {
		_ = send(t.conn, message{Step: stepServing}, nil)
	}
	_ = t.conn.Close()
}

// Drop gives up; the old process goes on.
func (t *Taking) Drop() {
	for _, l := range t.Listeners {
		_ = l.Close()
	}
	_ = t.conn.Close()
}
