package handover

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"indigousher/internal/backoff"
	"indigousher/recovery"
)

const (
	// maxRequests is how many connections are looked at once; more than any operator makes.
	maxRequests = 16
	// requestTimeout is how long a connection may take to request a takeover, so that silent ones keep nobody out.
	requestTimeout = 2 * time.Second
	// lockRetryInterval is the pause between two tries of the lock after the successor was lost.
	lockRetryInterval = 100 * time.Millisecond
	// defaultPatience is how often the lock is tried then: for ten seconds.
	defaultLockAttempts = 100
)

// Handoff is the side that hands off: the process that runs the controller.
type Handoff struct {
	Files map[string]*os.File // listeners by name
	// Stop ends the controller, its streams and its record, releases the lock, and returns when nothing of it writes
	// any more.
	Stop func()
	// Resume starts the controller again, on the same listeners, with the lock got anew.
	Resume func(*Lock)
	// Patience is how often, 0.1 s apart, the lock is tried after the new process was lost; 0: a hundred times.
	Patience int

	socket string
}

// Serve answers those who want to take over, one at a time, until one has or ctx ends. It returns whether one has. When
// it returns, so have all goroutines that it started.
func (h *Handoff) Serve(ctx context.Context, socket string) (bool, error) {
	h.socket = socket
	listener, err := listenUnix(socket)
	if err != nil {
		return false, fmt.Errorf("offer handover: %w", err)
	}
	s := &handoffServer{handoff: h, listener: listener, slots: make(chan struct{}, maxRequests)}
	return s.serve(ctx)
}

// listenOn opens the handover socket, in place of one that a killed process left.
func listenUnix(socket string) (*net.UnixListener, error) {
	_ = os.Remove(socket) // if there is one; what else is wrong shows below
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: socket, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the path may be the successor's
	return listener, nil
}

// handoffServer accepts connections on the handover socket.
type handoffServer struct {
	handoff   *Handoff
	listener  *net.UnixListener
	slots     chan struct{} // one for each connection that is looked at
	busy      atomic.Bool   // a handover is under way
	takenOver atomic.Bool   // another process has taken over
}

// serve accepts until one has taken over, ctx ends or the listener fails. Each of these cancels the inner context,
// which closes the listener and ends the waits of all connections; serve returns when the last of their goroutines has.
func (s *handoffServer) serve(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() }) // ends AcceptUnix
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			cancel()
			if s.takenOver.Load() || ctx.Err() != nil {
				return s.takenOver.Load(), nil
			}
			return false, fmt.Errorf("offer handover: %w", err)
		}
		if !s.takeSlot() {
			_ = conn.Close() // nothing was sent on it
			continue
		}
		connections.Go(func() {
			defer func() { <-s.slots }()
			s.handle(ctx, cancel, conn)
		})
	}
}

// takeSlot returns whether one more connection may be looked at.
func (s *handoffServer) takeSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// handle serves one connection and closes it. The end of ctx ends the wait that is under way. If the other process has
// taken over, stop is called while the server is still busy, so that no third one is offered anything.
func (s *handoffServer) handle(ctx context.Context, cancel context.CancelFunc, conn *net.UnixConn) {
	defer func() { _ = conn.Close() }() // all has been said
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })()
	if err := expect(conn, stepRequest, requestTimeout); err != nil {
		return // it means something else, or nothing
	}
	if !s.busy.CompareAndSwap(false, true) {
		_ = send(conn, message{Step: stepBusy}, nil) // if this fails the other process sees the connection end
		return
	}
	defer s.busy.Store(false)
	if s.handoff.handOver(ctx, conn) {
		s.takenOver.Store(true)
		cancel()
	}
}

// handOver goes through the steps with a process that wants to take over and returns whether it has.
func (h *Handoff) handOver(ctx context.Context, conn *net.UnixConn) bool {
	machine := recovery.Predecessor{Patience: cmp.Or(h.Patience, defaultLockAttempts)}
	event := recovery.Asked
	for {
		switch machine.Next(event) {
		case recovery.SayOffer:
			event = h.offerListeners(conn)
		case recovery.StopPilot:
			h.Stop()
			event = recovery.Stopped
		case recovery.SayGo:
			event = exchange(conn, message{Step: stepGo}, nil, stepServing, recovery.ServingCame)
		case recovery.Claim:
			lock, err := AcquireLock(h.socket)
			if err != nil {
				event = recovery.Refused
				backoff.Sleep(ctx, lockRetryInterval)
				continue
			}
			machine.Next(recovery.Claimed)
			h.Resume(lock)
			return false
		default:
			return machine.Replaced()
		}
	}
}

// offerListeners sends the listeners and waits until the successor is ready.
func (h *Handoff) offerListeners(conn *net.UnixConn) recovery.Event {
	m := message{Step: stepOffer}
	var files []*os.File
	for name, file := range h.Files {
		m.Names = append(m.Names, name)
		files = append(files, file)
	}
	return exchange(conn, m, files, stepReady, recovery.ReadyCame)
}

// exchange sends a message and waits for a step of the other side, which gives an event; anything else gives Lost.
func exchange(conn *net.UnixConn, m message, files []*os.File, step string, success recovery.Event) recovery.Event {
	if err := send(conn, m, files); err != nil {
		return recovery.Lost
	}
	if err := expect(conn, step, StepTimeout); err != nil {
		return recovery.Lost
	}
	return success
}
