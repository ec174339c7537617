package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/handover"
)

// Host runs a pilot's process: the pilot, and what lets a new process take over from it or it from an old one.
type Host struct {
	terms  *config.Pilot
	outfit Options
	mu     sync.Mutex
	d      *Daemon
	stop   context.CancelFunc
	ended  chan error
	files  map[string]*os.File
	claim  *handover.Lock // where a handover socket is told: nobody else serves meanwhile
	taken  chan error     // the offer has ended
	faults chan error     // the pilot ended by itself
}

// Start starts a pilot; with takeOver it is taken over from the process that runs.
func Start(ctx context.Context, t *config.Pilot, o Options, takeOver bool) (*Host, error) {
	o.fill()
	h := &Host{terms: t, outfit: o, faults: make(chan error, 1)}
	if !takeOver {
		if t.Handover != "" {
			var err error
			if h.claim, err = handover.AcquireLock(t.Handover); err != nil {
				return nil, err
			}
		}
		if err := h.start(ctx); err != nil {
			h.claim.Release()
			return nil, err
		}
		h.offer(ctx)
		return h, nil
	}
	if t.Handover == "" {
		return nil, errors.New("take over: the terms name no handover socket")
	}
	taking, err := handover.RequestTakeover(t.Handover)
	if err != nil {
		return nil, err
	}
	if h.claim, err = taking.Claim(); err != nil {
		taking.Abort()
		return nil, err
	}
	h.outfit.Listeners = taking.Listeners
	err = h.start(ctx)
	if err != nil {
		h.claim.Release() // before the old one hears of it
		taking.Abort()
		return nil, err
	}
	taking.Started(true)
	h.offer(ctx)
	return h, nil
}

// start begins the pilot, on the listeners that the host has.
func (h *Host) start(ctx context.Context) error {
	d, err := New(h.terms, h.outfit)
	if err != nil {
		return err
	}
	dctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	h.mu.Lock()
	h.d, h.stop, h.ended = d, stop, ended
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

func closeFiles(files map[string]*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// halt ends the pilot and its record; the files stay open.
func (h *Host) halt() {
	h.mu.Lock()
	stop, ended := h.stop, h.ended
	h.mu.Unlock()
	stop()
	if err := <-ended; err != nil {
		h.outfit.Log.Error("pilot ended", zap.Error(err))
	}
	ended <- nil
}

// offer lets others take over.
func (h *Host) offer(ctx context.Context) {
	h.taken = make(chan error, 1)
	if h.terms.Handover == "" {
		return
	}
	o := handover.Handoff{Files: h.files, Stop: func() { h.halt(); h.letGo() }, Resume: func(claim *handover.Lock) {
		h.mu.Lock()
		h.claim = claim
		h.mu.Unlock()
		h.outfit.Log.Warn("handover failed, going on")
		h.outfit.Listeners = map[string]net.Listener{}
		for name, f := range h.files {
			l, err := net.FileListener(f)
			if err != nil {
				h.outfit.Log.Error("listener lost", zap.String("name", name), zap.Error(err))
				continue
			}
			h.outfit.Listeners[name] = l
		}
		if err := h.start(ctx); err != nil {
			h.outfit.Log.Error("pilot can't go on", zap.Error(err))
			h.taken <- err
		}
	}}
	go func() {
		taken, err := o.Serve(ctx, h.terms.Handover)
		if taken || err != nil {
			h.taken <- err
		}
	}()
}

// Daemon returns the pilot that runs.
func (h *Host) Daemon() *Daemon {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.d
}

// Wait returns when the pilot has ended: asked by ctx, by a fault, or as another process has taken over.
func (h *Host) Wait(ctx context.Context) error {
	defer h.close()
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if h.terms.Handover == "" {
		return <-ended
	}
	select {
	case err := <-h.taken:
		if err == nil {
			h.outfit.Log.Info("another process has taken over")
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
	h.letGo()
}

// letGo gives up the claim to serve.
func (h *Host) letGo() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claim.Release()
}
