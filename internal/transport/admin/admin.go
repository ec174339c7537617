// Package admin serves metrics, health and readiness of a pilot over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/net/netutil"

	"indigousher/internal/controller"
)

// Stale is how long the loop may go without a turn before the pilot calls itself unhealthy.
const Stale = 5 * time.Second

// Bounds of what operators' connections may take.
const (
	within     = 2 * time.Second
	mostHeader = 16 << 10
	mostBody   = 1 << 10
	mostConns  = 64
)

// Serve answers on l until ctx ends: /metrics, /healthz (the loop turns), /readyz (the list has come) and /state.
func Serve(ctx context.Context, l net.Listener, g prometheus.Gatherer, state func() controller.State) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		verdict(w, time.Since(state().LastTurn) < Stale, "the loop has not turned")
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		verdict(w, state().Listed, "no endpoint list yet")
	})
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state()) // the peer has gone if this fails
	})
	// one that sends slowly, or never reads, is cut off; so many at once are served, others wait
	s := &http.Server{Handler: http.MaxBytesHandler(mux, mostBody), ReadHeaderTimeout: within, ReadTimeout: within,
		WriteTimeout: 5 * within, IdleTimeout: 15 * within, MaxHeaderBytes: mostHeader}
	l = netutil.LimitListener(l, mostConns)
	stop := context.AfterFunc(ctx, func() {
		sctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if s.Shutdown(sctx) != nil {
			_ = s.Close()
		}
	})
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin on %s: %w", l.Addr(), err)
	}
	return nil
}

func verdict(w http.ResponseWriter, good bool, why string) {
	if !good {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}
