package daemon

import (
	"context"
	"net"

	"go.uber.org/zap"

	"indigousher/internal/handover"
)

// serveHandoff accepts takeover requests from other processes on the handover socket. It does nothing if no socket is
// configured. Its goroutine ends when another process has taken over, when serving fails, or when ctx ends.
func (h *Host) serveHandoff(ctx context.Context) {
	h.handoffResult = make(chan error, 1)
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
			h.handoffResult <- err
		}
	}()
}

// stopForHandoff stops the controller and releases the lock, so that the new process can acquire it.
func (h *Host) stopForHandoff() {
	h.halt()
	h.release()
}

// resume restarts the controller on its listeners after a failed handoff, with the settings of the last reload. lock is the lock of the handover socket,
// which the handoff has acquired again.
func (h *Host) resume(ctx context.Context, lock *handover.Lock) {
	h.mu.Lock()
	h.lock = lock
	h.mu.Unlock()
	h.options.Log.Warn("handover failed, resuming")
	h.options.Listeners = h.reopenListeners()
	h.reloading.Lock()
	defer h.reloading.Unlock()
	if err := h.start(ctx, h.Daemon().config.Load()); err != nil {
		h.options.Log.Error("pilot can't resume", zap.Error(err))
		h.handoffResult <- err
	}
}

// reopenListeners creates listeners from the file handles of the first daemon, by name. It omits a listener that can't
// be created; New then opens a new one.
func (h *Host) reopenListeners() map[string]net.Listener {
	listeners := map[string]net.Listener{}
	for name, file := range h.files {
		l, err := net.FileListener(file)
		if err != nil {
			h.options.Log.Error("listener can't be restored, opening a new one", zap.String("name", name), zap.Error(err))
			continue
		}
		listeners[name] = l
	}
	return listeners
}
