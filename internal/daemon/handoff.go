package daemon

import (
	"context"
	"net"

	"go.uber.org/zap"

	"indigousher/internal/handover"
)

// serveHandoff lets others take over.
func (h *Host) serveHandoff(ctx context.Context) {
	h.replaced = make(chan error, 1)
	if h.config.Handover == "" {
		return
	}
	o := handover.Offer{Files: h.files, Stop: func() { h.halt(); h.release() }, Resume: func(claim *handover.Claimed) {
		h.mu.Lock()
		h.lock = claim
		h.mu.Unlock()
		h.options.Log.Warn("handover failed, going on")
		h.options.Listeners = map[string]net.Listener{}
		for name, f := range h.files {
			l, err := net.FileListener(f)
			if err != nil {
				h.options.Log.Error("listener lost", zap.String("name", name), zap.Error(err))
				continue
			}
			h.options.Listeners[name] = l
		}
		if err := h.start(ctx); err != nil {
			h.options.Log.Error("pilot can't go on", zap.Error(err))
			h.replaced <- err
		}
	}}
	go func() {
		taken, err := o.Serve(ctx, h.config.Handover)
		if taken || err != nil {
			h.replaced <- err
		}
	}()
}
