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
	// maxRequests is the number of connections that are handled concurrently, more than an operator ever opens.
	maxRequests = 16
	// requestTimeout limits the wait for a connection's request, so that silent connections don't occupy all slots.
	requestTimeout = 2 * time.Second
	// lockRetryInterval is the pause between two attempts to acquire the lock after the successor was lost.
	lockRetryInterval = 100 * time.Millisecond
	// defaultLockAttempts is the default number of attempts to acquire the lock after the successor was lost. With
	// lockRetryInterval between them they take ten seconds.
	defaultLockAttempts = 100
)

// Handoff is the predecessor's side of a handover, in the process that runs the controller.
type Handoff struct {
	Files map[string]*os.File // listeners by name
	// Stop stops the controller, ends its streams, closes its record and releases the lock. When it returns, the
	// controller no longer writes anything.
	Stop func()
	// Resume starts the controller again, on the same listeners. Its argument is the lock, which was acquired again.
	Resume func(*Lock)
	// LockAttempts is the number of attempts, 0.1 s apart, to acquire the lock after the successor was lost; 0: 100.
	LockAttempts int

	socket string
}

// Serve serves requests to take over on a Unix socket, one at a time, until a process has taken over or ctx ends. It
// reports whether a process has taken over. All goroutines that it started end before it returns.
func (h *Handoff) Serve(ctx context.Context, socket string) (bool, error) {
	h.socket = socket
	listener, err := listenUnix(socket)
	if err != nil {
		return false, fmt.Errorf("listen for handover requests: %w", err)
	}
	s := &handoffServer{handoff: h, listener: listener, slots: make(chan struct{}, maxRequests)}
	return s.serve(ctx)
}

// listenUnix listens on the handover socket. It replaces a socket file that a killed process left behind.
func listenUnix(socket string) (*net.UnixListener, error) {
	_ = os.Remove(socket) // it may not exist; listening reports any other problem
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: socket, Net: "unixpacket"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then the successor may listen on the same path
	return listener, nil
}

// handoffServer accepts connections on the handover socket.
type handoffServer struct {
	handoff   *Handoff
	listener  *net.UnixListener
	slots     chan struct{} // holds one value for each connection that is handled
	busy      atomic.Bool   // a handover is in progress
	takenOver atomic.Bool   // another process has taken over
}

// serve accepts connections until a process has taken over, ctx ends or the listener fails. Each of these cancels the
// inner context, which closes the listener and ends all reads from connections. serve returns after the last goroutine
// of a connection has ended.
func (s *handoffServer) serve(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() }) // makes AcceptUnix return
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
			return false, fmt.Errorf("accept handover request: %w", err)
		}
		if !s.takeSlot() {
			_ = conn.Close() // no data was written, so no error can matter
			continue
		}
		connections.Go(func() {
			defer func() { <-s.slots }()
			s.handle(ctx, cancel, conn)
		})
	}
}

// takeSlot reserves a slot for one more connection. It returns false if all slots are in use.
func (s *handoffServer) takeSlot() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// handle serves one connection and closes it. The end of ctx ends a read in progress. If the successor has taken over,
// handle calls cancel while busy is still set, so that no third process is offered the listeners.
func (s *handoffServer) handle(ctx context.Context, cancel context.CancelFunc, conn *net.UnixConn) {
	defer func() { _ = conn.Close() }() // all messages were sent, so no error can matter
	defer context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })()
	if err := expect(conn, stepRequest, requestTimeout); err != nil {
		return // not a valid request, or none within the timeout
	}
	if !s.busy.CompareAndSwap(false, true) {
		_ = send(conn, message{Step: stepBusy}, nil) // if this fails, the other process detects the closed connection
		return
	}
	defer s.busy.Store(false)
	if s.handoff.handOver(ctx, conn) {
		s.takenOver.Store(true)
		cancel()
	}
}

// handOver executes the steps of a handover to the process at the other end of conn. It reports whether that process
// has taken over.
func (h *Handoff) handOver(ctx context.Context, conn *net.UnixConn) bool {
	machine := recovery.Predecessor{MaxLockAttempts: cmp.Or(h.LockAttempts, defaultLockAttempts)}
	event := recovery.TakeoverRequested
	for {
		switch machine.Next(event) {
		case recovery.SendOffer:
			event = h.offerListeners(conn)
		case recovery.StopPilot:
			h.Stop()
			event = recovery.PilotStopped
		case recovery.SendGo:
			event = exchange(conn, message{Step: stepGo}, nil, stepServing, recovery.ServingReceived)
		case recovery.AcquireLock:
			lock, err := AcquireLock(h.socket)
			if err != nil {
				event = recovery.LockRefused
				backoff.Sleep(ctx, lockRetryInterval)
				continue
			}
			machine.Next(recovery.LockAcquired)
			h.Resume(lock)
			return false
		default:
			return machine.Replaced()
		}
	}
}

// offerListeners sends the listeners and waits until the successor is ready. It returns ReadyReceived or PeerLost.
func (h *Handoff) offerListeners(conn *net.UnixConn) recovery.Event {
	m := message{Step: stepOffer}
	var files []*os.File
	for name, file := range h.Files {
		m.Names = append(m.Names, name)
		files = append(files, file)
	}
	return exchange(conn, m, files, stepReady, recovery.ReadyReceived)
}

// exchange sends a message and waits for the given step of the successor. It returns success if that step comes, and
// Lost on any error.
func exchange(conn *net.UnixConn, m message, files []*os.File, step string, success recovery.Event) recovery.Event {
	if err := send(conn, m, files); err != nil {
		return recovery.PeerLost
	}
	if err := expect(conn, step, StepTimeout); err != nil {
		return recovery.PeerLost
	}
	return success
}
