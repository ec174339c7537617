package daemon

import (
	"context"
	"net"

	"go.uber.org/zap"

	"indigousher/internal/handover"
)

// offer lets others take over.
func (h *Host) offer(ctx context.Context) {
	h.taken = make(chan error, 1)
	if h.terms.Handover == "" {
		return
	}
	o := handover.Offer{Files: h.files, Stop: func() { h.halt(); h.letGo() }, Resume: func(claim *handover.Claimed) {
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
