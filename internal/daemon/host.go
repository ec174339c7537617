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

// errNoSocket is returned for a takeover if no handover socket is configured.
var errNoSocket = errors.New("take over: the settings name no handover socket")

// Host manages a controller in its process: it starts the controller, possibly by taking over from a running process,
// and hands it over to a new process on request.
type Host struct {
	config  *config.Pilot // as at the start of the process; a reload changes only the daemon's settings
	options Options

	reloading sync.Mutex // held during a reload, and while a daemon is started from the settings of the last one

	mu        sync.Mutex          // guards daemon, stop, runResult, files and lock; files is set once, by the first start
	daemon    *Daemon             // the daemon that runs, or ran last
	stop      context.CancelFunc  // stops daemon
	runResult chan error          // receives the result of Daemon.Run
	files     map[string]*os.File // file handles of the listeners by name; they stay open when a daemon stops
	lock      *handover.Lock      // prevents other processes from serving; nil without a handover socket

	handoffResult chan error // receives nil when another process has taken over, or the error of a failed handoff
	failures      chan error // receives the result of Daemon.Run if the daemon stopped without being asked to
}

// Start starts a controller. If takeOver is true, it takes the listeners over from the process that runs the
// controller, after that process has stopped serving.
func Start(ctx context.Context, cfg *config.Pilot, o Options, takeOver bool) (*Host, error) {
	o.setDefaults()
	h := &Host{config: cfg, options: o, failures: make(chan error, 1)}
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

// startFirst starts the controller without a takeover. If a handover socket is configured, it fails when another
// process holds the lock.
func (h *Host) startFirst(ctx context.Context) error {
	if h.config.Handover != "" {
		lock, err := handover.AcquireLock(h.config.Handover)
		if err != nil {
			return err
		}
		h.lock = lock
	}
	if err := h.start(ctx, h.config); err != nil {
		h.lock.Release()
		return err
	}
	return nil
}

// takeOver waits until the process that runs the controller has stopped serving, and starts the controller on that
// process's listeners.
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
	if err := h.start(ctx, h.config); err != nil {
		h.lock.Release() // before Abort, because the old process acquires the lock to resume
		takeover.Abort()
		return err
	}
	takeover.Started(true)
	return nil
}

// start creates a daemon with the given settings on the host's listeners and runs it in a goroutine. The goroutine ends when h.stop is called,
// when ctx ends, or when the daemon fails.
func (h *Host) start(ctx context.Context, cfg *config.Pilot) error {
	d, err := New(cfg, h.options)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	runResult := make(chan error, 1)
	h.setDaemon(d, stop, runResult)
	go func() {
		err := d.Run(ctx)
		runResult <- err
		if ctx.Err() == nil { // the daemon stopped without being asked to
			h.failures <- err
		}
	}()
	return nil
}

// setDaemon stores the running daemon. It keeps the listeners' file handles of the first daemon and closes those of
// later ones.
func (h *Host) setDaemon(d *Daemon, stop context.CancelFunc, runResult chan error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.daemon = d
	h.stop = stop
	h.runResult = runResult
	if h.files == nil {
		h.files = d.Files()
	} else {
		closeFiles(d.Files())
	}
}

// halt stops the controller and waits until it has stopped and its record is closed. The listeners' file handles stay
// open.
func (h *Host) halt() {
	h.mu.Lock()
	stop := h.stop
	runResult := h.runResult
	h.mu.Unlock()
	stop()
	if err := <-runResult; err != nil {
		h.options.Log.Error("pilot ended with an error", zap.Error(err))
	}
	runResult <- nil // Wait, or another call of halt, may receive from this channel too
}

// Daemon returns the current daemon: the one that runs, or the last one if none runs.
func (h *Host) Daemon() *Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// Reload applies the reloadable fields of a new configuration, as Daemon.Reload does. If a handoff has stopped the
// controller, they apply when it resumes.
func (h *Host) Reload(ctx context.Context, cfg *config.Pilot) (changed, restart []string, err error) {
	h.reloading.Lock()
	defer h.reloading.Unlock()
	return h.Daemon().Reload(ctx, cfg)
}

// Wait blocks until the controller has stopped, because ctx ended, the controller failed, or another process has taken
// over. It then closes the listeners' file handles and releases the lock.
func (h *Host) Wait(ctx context.Context) error {
	defer h.close()
	h.mu.Lock()
	runResult := h.runResult
	h.mu.Unlock()
	if h.config.Handover == "" {
		return <-runResult
	}
	select {
	case err := <-h.handoffResult:
		if err == nil {
			h.options.Log.Info("another process has taken over")
		}
		return err
	case err := <-h.failures:
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

// release releases the lock, so that another process may serve.
func (h *Host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lock.Release()
}

func closeFiles(files map[string]*os.File) {
	for _, file := range files {
		_ = file.Close() // a duplicate handle of a listener: no data can be lost
	}
}
