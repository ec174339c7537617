package daemon

import (
	"context"
	"errors"
	"os"
	"sync"

	"go.uber.org/zap"

	"indigousher/internal/handover"
	"indigousher/internal/terms"
)

// Host runs a pilot's process: the pilot, and what lets a new process take over from it or it from an old one.
type Host struct {
	config   *terms.Pilot
	options  Outfit
	mu       sync.Mutex
	daemon   *Daemon
	stop     context.CancelFunc
	ended    chan error
	files    map[string]*os.File
	lock     *handover.Claimed // where a handover socket is told: nobody else serves meanwhile
	replaced chan error        // the offer has ended
	faults   chan error        // the pilot ended by itself
}

// Begin starts a pilot; with takeOver it is taken over from the process that runs.
func Begin(ctx context.Context, t *terms.Pilot, o Outfit, takeOver bool) (*Host, error) {
	o.setDefaults()
	h := &Host{config: t, options: o, faults: make(chan error, 1)}
	if !takeOver {
		if t.Handover != "" {
			var err error
			if h.lock, err = handover.GetClaim(t.Handover); err != nil {
				return nil, err
			}
		}
		if err := h.start(ctx); err != nil {
			h.lock.LetGo()
			return nil, err
		}
		h.serveHandoff(ctx)
		return h, nil
	}
	if t.Handover == "" {
		return nil, errors.New("take over: the terms name no handover socket")
	}
	taking, err := handover.Take(t.Handover)
	if err != nil {
		return nil, err
	}
	if h.lock, err = taking.Claim(); err != nil {
		taking.Drop()
		return nil, err
	}
	h.options.Listeners = taking.Listeners
	err = h.start(ctx)
	if err != nil {
		h.lock.LetGo() // before the old one hears of it
		taking.Drop()
		return nil, err
	}
	taking.Started(true)
	h.serveHandoff(ctx)
	return h, nil
}

// start begins the pilot, on the listeners that the host has.
func (h *Host) start(ctx context.Context) error {
	d, err := New(h.config, h.options)
	if err != nil {
		return err
	}
	dctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	h.mu.Lock()
	h.daemon, h.stop, h.ended = d, stop, ended
	if h.files == nil {
		h.files = d.Files()
	} else {
		closeFiles(d.Files())
	}
	h.mu.Unlock()
	go func() {
		err := d.Run(dctx)
		ended <- err
		if dctx.Err() == nil { // by a fault, not asked
			h.faults <- err
		}
	}()
	return nil
}

// halt ends the pilot and its record; the files stay open.
func (h *Host) halt() {
	h.mu.Lock()
	stop, ended := h.stop, h.ended
	h.mu.Unlock()
	stop()
	if err := <-ended; err != nil {
		h.options.Log.Error("pilot ended", zap.Error(err))
	}
	ended <- nil
}

// Daemon returns the pilot that runs.
func (h *Host) Daemon() *Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.daemon
}

// Wait returns when the pilot has ended: asked by ctx, by a fault, or as another process has taken over.
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

func closeFiles(files map[string]*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// release gives up the claim to serve.
func (h *Host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lock.LetGo()
}
