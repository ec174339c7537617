// Package admin serves a controller's metrics, health, readiness and state over HTTP.
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

	"indigousher/internal/pilot"
)

// Stale is how long the loop may go without a turn before the controller calls itself unhealthy.
const Stale = 5 * time.Second

// Limits of what operators' connections may take. One that sends slowly, or never reads, is cut off.
const (
	readTimeout    = 2 * time.Second  // for a request to come
	writeTimeout   = 10 * time.Second // for an answer to be read
	idleTimeout    = 30 * time.Second // between two requests of a connection
	shutdownWithin = time.Second      // for answers under way when the controller stops
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 1 << 10
	maxConns       = 64 // served at once; others wait
)

// Serve answers on l until ctx ends: /metrics, /healthz (the loop turns), /readyz (the endpoint list has come) and
// /state.
func Serve(ctx context.Context, l net.Listener, g prometheus.Gatherer, state func() pilot.State) error {
	server := newServer(handler(g, state))
	l = netutil.LimitListener(l, maxConns)
	stop := context.AfterFunc(ctx, func() { shutDown(ctx, server) })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin on %s: %w", l.Addr(), err)
	}
	return nil
}

// handler answers the paths that are served.
func handler(g prometheus.Gatherer, state func() pilot.State) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeVerdict(w, time.Since(state().LastTurn) < Stale, "the loop has not turned")
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeVerdict(w, state().Listed, "no endpoint list yet")
	})
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state()) // the peer has gone if this fails
	})
	return mux
}

// newServer returns a server within the limits above.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(h, maxBodyBytes),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// shutDown ends a server once its answers under way are written, or after shutdownWithin; ctx has ended.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWithin)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // what is cut off had its time
	}
}

// writeVerdict answers ok, or that the service is unavailable and why.
func writeVerdict(w http.ResponseWriter, good bool, why string) {
	if !good {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok") // the peer has gone if this fails
}
