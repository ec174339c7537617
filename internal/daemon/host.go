package daemon

import (
	"context"
	"errors"
	"os"
	"sync"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/handover"
)

// errNoSocket says that a takeover was asked for without a handover socket.
var errNoSocket = errors.New("take over: the terms name no handover socket")

// Host runs a controller's process: the controller, its takeover from another process, and its handoff to one.
type Host struct {
	config  *config.Pilot
	options Options

	mu     sync.Mutex // guards what follows; files is set once, by the first start
	daemon *Daemon    // that runs, or ran last
	stop   context.CancelFunc
	ended  chan error          // has the error of the daemon's run once it has ended
	files  map[string]*os.File // handles on the listeners, of the first daemon; they outlive each
	lock   *handover.Lock      // nil without a handover socket; with it nobody else serves meanwhile

	replaced chan error // the handoff has ended: another process has taken over, or it failed
	faults   chan error // the daemon has ended by itself
}

// Start starts a controller; with takeOver it is taken over from the process that runs.
func Start(ctx context.Context, cfg *config.Pilot, o Options, takeOver bool) (*Host, error) {
	o.setDefaults()
	h := &Host{config: cfg, options: o, faults: make(chan error, 1)}
	var err error
	if takeOver {
		err = h.takeOver(ctx)
	} else {
		err = h.startFirst(ctx)
	}
	if err != nil {
		return nil, err
	}
	h.serveHandoff(ctx)
	return h, nil
}

// startFirst starts the controller when no other process runs it, which the lock tells.
func (h *Host) startFirst(ctx context.Context) error {
	if h.config.Handover != "" {
		lock, err := handover.AcquireLock(h.config.Handover)
		if err != nil {
			return err
		}
		h.lock = lock
	}
	if err := h.start(ctx); err != nil {
		h.lock.Release()
		return err
	}
	return nil
}

// takeOver starts the controller on the listeners of the process that runs it, once that has stopped.
func (h *Host) takeOver(ctx context.Context) error {
	if h.config.Handover == "" {
		return errNoSocket
	}
	takeover, err := handover.RequestTakeover(h.config.Handover)
	if err != nil {
		return err
	}
	if h.lock, err = takeover.Claim(); err != nil {
		takeover.Abort()
		return err
	}
	h.options.Listeners = takeover.Listeners
	if err := h.start(ctx); err != nil {
		h.lock.Release() // before the old process hears of it
		takeover.Abort()
		return err
	}
	takeover.Started(true)
	return nil
}

// start makes a daemon, on the listeners that the host has, and runs it. Its goroutine ends when the run does, by stop,
// by the end of ctx or by a fault.
func (h *Host) start(ctx context.Context) error {
	d, err := New(h.config, h.options)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	h.setDaemon(d, stop, ended)
	go func() {
		err := d.Run(ctx)
		ended <- err
		if ctx.Err() == nil { // by a fault, not asked
			h.faults <- err
		}
	}()
	return nil
}

// setDaemon notes the daemon that runs. Handles on the listeners are kept of the first one.
func (h *Host) setDaemon(d *Daemon, stop context.CancelFunc, ended chan error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemon = d
	h.stop = stop
	h.ended = ended
	if h.files == nil {
		h.files = d.Files()
	} else {
		closeFiles(d.Files())
	}
}

// halt ends the controller and its record; the listeners' files stay open.
func (h *Host) halt() {
	h.mu.Lock()
	stop := h.stop
	ended := h.ended
	h.mu.Unlock()
	stop()
	if err := <-ended; err != nil {
		h.options.Log.Error("pilot ended", zap.Error(err))
	}
	ended <- nil // for whoever waits next
}

// Daemon returns the controller that runs.
func (h *Host) Daemon() *Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// Wait returns when the controller has ended: asked by ctx, by a fault, or as another process has taken over.
func (h *Host) Wait(ctx context.Context) error {
	defer h.close()
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if h.config.Handover == "" {
		return <-ended
	}
	select {
	case err := <-h.replaced:
		if err == nil {
			h.options.Log.Info("another process has taken over")
		}
		return err
	case err := <-h.faults:
		return err
	case <-ctx.Done():
		h.halt()
		return nil
	}
}

func (h *Host) close() {
	closeFiles(h.files)
	h.release()
}

// release releases the lock: another process may serve.
func (h *Host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lock.Release()
}

func closeFiles(files map[string]*os.File) {
	for _, file := range files {
		_ = file.Close() // a second handle; nothing is lost with it
	}
}
