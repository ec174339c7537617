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

	"indigousher/internal/controller"
)

// staleAfter is the time without a turn of the loop after which the controller reports itself unhealthy.
const staleAfter = 5 * time.Second

// Limits of operators' connections. Clients that send slowly or do not read are disconnected.
const (
	readTimeout     = 2 * time.Second  // for a request to arrive
	writeTimeout    = 10 * time.Second // for a response to be written
	idleTimeout     = 30 * time.Second // between two requests on a connection
	shutdownTimeout = time.Second      // for responses in progress when the controller stops
	maxHeaderBytes  = 16 << 10
	maxBodyBytes    = 1 << 10
	maxConns        = 64 // served concurrently; others wait
)

// Serve serves /metrics, /healthz (the loop turns), /readyz (an endpoint list has arrived) and /state on l until ctx
// ends.
func Serve(ctx context.Context, l net.Listener, g prometheus.Gatherer, state func() controller.State) error {
	server := newServer(handler(g, state))
	l = netutil.LimitListener(l, maxConns)
	stop := context.AfterFunc(ctx, func() { shutDown(ctx, server) })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin on %s: %w", l.Addr(), err)
	}
	return nil
}

// handler returns the handler of all paths.
func handler(g prometheus.Gatherer, state func() controller.State) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(g, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeCheckResult(w, time.Since(state().LastTurn) < staleAfter, "the loop has not turned")
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeCheckResult(w, state().Listed, "no endpoint list yet")
	})
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(state()) // fails only if the client has gone
	})
	return mux
}

// newServer returns a server with the limits above.
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

// shutDown stops a server when its responses in progress are written, or after shutdownWithin. The context given has
// ended already.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // the rest had its time
	}
}

// writeVerdict responds with ok, or with the status Service Unavailable and the reason.
func writeCheckResult(w http.ResponseWriter, ok bool, problem string) {
	if !ok {
		http.Error(w, problem, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok") // fails only if the client has gone
}
