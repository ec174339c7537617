package daemon

import (
	"context"
	"net"

	"go.uber.org/zap"

	"indigousher/internal/handover"
)

// serveHandoff lets other processes take over, if the configuration names a handover socket. Its goroutine ends when
// one has, or with ctx.
func (h *Host) serveHandoff(ctx context.Context) {
	h.replaced = make(chan error, 1)
	if h.config.Handover == "" {
		return
	}
	handoff := handover.Handoff{
		Files:  h.files,
		Stop:   h.stopForHandoff,
		Resume: func(lock *handover.Lock) { h.resume(ctx, lock) },
	}
	go func() {
		taken, err := handoff.Serve(ctx, h.config.Handover)
		if taken || err != nil {
			h.replaced <- err
		}
	}()
}

// stopForHandoff ends the controller and releases the lock.
func (h *Host) stopForHandoff() {
	h.halt()
	h.release()
}

// resume starts the controller again after a handoff that failed.
func (h *Host) resume(ctx context.Context, lock *handover.Lock) {
	h.mu.Lock()
	h.lock = lock
	h.mu.Unlock()
	h.options.Log.Warn("handover failed, serving on")
	h.options.Listeners = h.reopenListeners()
	if err := h.start(ctx); err != nil {
		h.options.Log.Error("pilot can't resume", zap.Error(err))
		h.replaced <- err
	}
}

// reopenListeners makes listeners of the files that were kept. One that can't be made is opened anew by the daemon.
func (h *Host) reopenListeners() map[string]net.Listener {
	listeners := map[string]net.Listener{}
	for name, file := range h.files {
		l, err := net.FileListener(file)
		if err != nil {
			h.options.Log.Error("listener lost", zap.String("name", name), zap.Error(err))
			continue
		}
		listeners[name] = l
	}
	return listeners
}
