// Package handover passes a pilot's listeners from a running process to a new one over a Unix socket. The old process
// stops its pilot before the new one begins. Who may serve follows from a claim, a lock that only one process can hold, so
// never do two write to one proxy, whatever message is lost: the old one goes on by itself if the new one does not say that
// it serves and the claim is free. What each side does next is decided by recovery.Old and recovery.New. State passes through
// the record, which the old one closes first.
package handover

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigousher/internal/backoff"
	"indigousher/recovery"
)

// The steps, each a line of JSON: the new one asks, the old one offers listeners, the new one is ready, the old one has
// stopped and lets it go, the new one serves.
const (
	stepTake    = "take"
	stepOffer   = "offer"
	stepBusy    = "busy"
	stepReady   = "ready"
	stepGo      = "go"
	stepServing = "serving"
	version     = 1
)

// StepTimeout bounds each step.
const StepTimeout = 20 * time.Second

// Bounds of those who ask: how many at once, and how long each may take to say that it wants to take over.
const (
	mostAsking = 16
	askWithin  = 2 * time.Second
)

type message struct {
	Version int      `json:"Version"`
	Step    string   `json:"Step"`
	Names   []string `json:"Names,omitempty"` // of the listeners that come along
}

// Errors of a handover.
var (
	ErrBusy   = errors.New("another handover is under way")
	ErrBroken = errors.New("the handover broke")
)

const largest = 4096

func send(c *net.UnixConn, m message, files []*os.File) error {
	m.Version = version
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	var fds []int
	for _, f := range files {
		fds = append(fds, int(f.Fd()))
	}
	_ = c.SetWriteDeadline(time.Now().Add(StepTimeout))
	if _, _, err := c.WriteMsgUnix(b, syscall.UnixRights(fds...), nil); err != nil {
		return fmt.Errorf("say %s: %w", m.Step, err)
	}
	return nil
}

// expect waits for a message of a step that brings no files; those that come all the same are closed.
func expect(c *net.UnixConn, step string, within time.Duration) error {
	_, files, err := receive(c, step, within)
	closeAll(files)
	return err
}

// receive reads the next message, which is to be of a step, with the files that come along.
func receive(c *net.UnixConn, step string, within time.Duration) (message, []*os.File, error) {
	b, oob := make([]byte, largest), make([]byte, largest)
	_ = c.SetReadDeadline(time.Now().Add(within))
	n, on, flags, _, err := c.ReadMsgUnix(b, oob)
	if err != nil || n == 0 {
		return message{}, nil, errors.Join(fmt.Errorf("wait for %s: %w", step, ErrBroken), err)
	}
	var files []*os.File
	controls, err := syscall.ParseSocketControlMessage(oob[:on])
	for i := range controls {
		fds, ferr := syscall.ParseUnixRights(&controls[i])
		err = errors.Join(err, ferr)
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "listener"))
		}
	}
	var m message
	if flags&(syscall.MSG_TRUNC|syscall.MSG_CTRUNC) != 0 {
		err = errors.Join(err, fmt.Errorf("longer than %d bytes: %w", largest, ErrBroken))
	}
	if err == nil {
		err = json.Unmarshal(b[:n], &m)
	}
	switch {
	case err != nil:
	case m.Version != version:
		err = fmt.Errorf("version %d, %d is spoken: %w", m.Version, version, ErrBroken)
	case m.Step == stepBusy:
		err = ErrBusy
	case m.Step != step:
		err = fmt.Errorf("%q where %q was due: %w", m.Step, step, ErrBroken)
	}
	if err != nil {
		closeAll(files)
		return m, nil, err
	}
	return m, files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// Handoff is what the old process does.
type Handoff struct {
	Files map[string]*os.File // listeners by name
	// Stop ends the pilot, its streams and its record, lets go of the claim, and returns when nothing of it writes any more.
	Stop func()
	// Resume starts the pilot again, on the same listeners, with the claim got anew.
	Resume func(*Lock)
	// Patience is how often, 0.1 s apart, the claim is tried after the new process was lost; 0: a hundred times.
	Patience int

	path string
}

// Figures of getting the claim again.
const (
	claimEvery    = 100 * time.Millisecond
	usualPatience = 100
)

// Serve answers those who want to take over, one at a time, until one has or ctx ends. It returns whether one has.
func (o *Handoff) Serve(ctx context.Context, path string) (bool, error) {
	o.path = path
	_ = os.Remove(path) // left by a process that was killed
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return false, fmt.Errorf("offer handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path may be the successor's
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var busy, taken atomic.Bool
	var asking sync.WaitGroup
	defer asking.Wait()
	slots := make(chan struct{}, mostAsking)
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			cancel()
			if taken.Load() || ctx.Err() != nil {
				return taken.Load(), nil
			}
			return false, fmt.Errorf("offer handover: %w", err)
		}
		select {
		case slots <- struct{}{}:
		default: // more ask at once than any operator does
			_ = c.Close()
			continue
		}
		asking.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })()
			if err := expect(c, stepTake, askWithin); err != nil { // one that says nothing keeps nobody out
				return
			}
			if !busy.CompareAndSwap(false, true) {
				_ = send(c, message{Step: stepBusy}, nil)
				return
			}
			defer busy.Store(false)
			if o.hand(ctx, c) {
				taken.Store(true)
				cancel()
			}
		})
	}
}

// hand goes through the steps with one that wants to take over and returns whether it has.
func (o *Handoff) hand(ctx context.Context, c *net.UnixConn) bool {
	m := recovery.Predecessor{Patience: cmp.Or(o.Patience, usualPatience)}
	e := recovery.Asked
	for {
		switch m.Next(e) {
		case recovery.SayOffer:
			e = o.ask(c, stepOffer, stepReady, recovery.ReadyCame)
		case recovery.StopPilot:
			o.Stop()
			e = recovery.Stopped
		case recovery.SayGo:
			e = o.ask(c, stepGo, stepServing, recovery.ServingCame)
		case recovery.Claim:
			claim, err := AcquireLock(o.path)
			if e = recovery.Claimed; err != nil {
				e = recovery.Refused
				backoff.Sleep(ctx, claimEvery)
				continue
			}
			m.Next(e)
			o.Resume(claim)
			return false
		default:
			return m.Replaced()
		}
	}
}

// ask says one step, with the listeners if it is the offer, and waits for the answer.
func (o *Handoff) ask(c *net.UnixConn, say, want string, came recovery.Event) recovery.Event {
	m := message{Step: say}
	var files []*os.File
	if say == stepOffer {
		for name, f := range o.Files {
			m.Names, files = append(m.Names, name), append(files, f)
		}
	}
	if err := send(c, m, files); err != nil {
		return recovery.Lost
	}
	if expect(c, want, StepTimeout) != nil {
		return recovery.Lost
	}
	return came
}

// Takeover is what the new process has been offered.
type Takeover struct {
	conn      *net.UnixConn
	path      string
	side      *recovery.Successor
	Listeners map[string]net.Listener
}

// RequestTakeover asks a running process for its listeners.
func RequestTakeover(path string) (*Takeover, error) {
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("take over: %w", err)
	}
	t := &Takeover{conn: c, path: path, side: recovery.NewSuccessor(), Listeners: map[string]net.Listener{}}
	if err := send(c, message{Step: stepTake}, nil); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	m, files, err := receive(c, stepOffer, StepTimeout)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("take over: %w", err), c.Close())
	}
	defer closeAll(files)
	if len(files) != len(m.Names) {
		return nil, errors.Join(fmt.Errorf("%d listeners, %d names: %w", len(files), len(m.Names), ErrBroken), c.Close())
	}
	for i, f := range files {
		l, err := net.FileListener(f)
		if err != nil {
			t.Abort()
			return nil, fmt.Errorf("take over %s: %w", m.Names[i], err)
		}
		t.Listeners[m.Names[i]] = l
	}
	return t, nil
}

// Claim says that all that can be checked is good, waits until the old pilot has stopped and takes the claim. If the old
// process is lost instead, the claim tells whether it still serves.
func (t *Takeover) Claim() (*Lock, error) {
	e := recovery.Offered
	var why error
	for {
		switch t.side.Next(e) {
		case recovery.SayReady:
			e = recovery.GoCame
			if why = send(t.conn, message{Step: stepReady}, nil); why == nil {
				why = expect(t.conn, stepGo, StepTimeout)
			}
			if why != nil {
				e = recovery.Lost
			}
		case recovery.Claim:
			c, err := AcquireLock(t.path)
			if err == nil {
				t.side.Next(recovery.Claimed)
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
func (t *Takeover) Started(runs bool) {
	e := recovery.Started
	if !runs {
		e = recovery.Failed
	}
	if t.side.Next(e) == recovery.SayServing {
		_ = send(t.conn, message{Step: stepServing}, nil)
	}
	_ = t.conn.Close()
}

// Abort gives up; the old process goes on.
func (t *Takeover) Abort() {
	for _, l := range t.Listeners {
		_ = l.Close()
	}
	_ = t.conn.Close()
}
