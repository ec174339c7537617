// Package admin serves the metrics, health, readiness and state of a pilot over HTTP.
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

// staleAfter is the time without a turn of the control loop after which /healthz reports that the pilot is unhealthy.
const staleAfter = 5 * time.Second

// Limits of HTTP connections. Clients that send slowly or do not read are disconnected.
const (
	readTimeout     = 2 * time.Second  // longest time until a request has arrived
	writeTimeout    = 10 * time.Second // longest time until a response is written
	idleTimeout     = 30 * time.Second // longest time between two requests on a connection
	shutdownTimeout = time.Second      // longest time for responses in progress during a shutdown
	maxHeaderBytes  = 16 << 10         // largest header of a request
	maxBodyBytes    = 1 << 10          // largest body of a request
	maxConns        = 64               // largest number of connections served concurrently; others wait
)

// Serve serves HTTP on l until ctx is cancelled. /metrics returns the metrics of g. /healthz succeeds if the last turn
// of the control loop is more recent than staleAfter, and /readyz if an endpoint list has arrived. /state returns the
// result of state as JSON.
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

// handler returns the HTTP handler for all paths.
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
		_ = json.NewEncoder(w).Encode(state()) // fails only if the client has disconnected
	})
	return mux
}

// newServer returns an HTTP server with the limits of this package.
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

// shutDown stops a server after the responses in progress are written, but at the latest after shutdownTimeout. It
// ignores the cancellation of ctx, which is cancelled before shutDown is called.
func shutDown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close() // closes the connections that have exceeded shutdownTimeout
	}
}

// writeCheckResult responds with "ok" if ok is set, and otherwise with the status 503 (Service Unavailable) and
// problem.
func writeCheckResult(w http.ResponseWriter, ok bool, problem string) {
	if !ok {
		http.Error(w, problem, http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok") // fails only if the client has disconnected
}
