package server

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"pumicefront/controller"
	"pumicefront/spanexport"
)

// Functions shared by the status endpoints for operators and the listener for other cells.

// newHTTPServer returns the HTTP server of a status endpoint or of the listener for other cells.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10}
}

// callCoreOrReject sends a request to the core through the given queue and returns the answer. Without an
// answer of status 200 it writes an error response and returns false.
func callCoreOrReject(w http.ResponseWriter, queue chan<- request, id uint64, in controller.Input) (controller.Answer, bool) {
	a, ok := callCore(queue, id, in)
	if ok && a.Status == http.StatusOK {
		return a, true
	}
	status := a.Status
	if !ok || status == 0 { // 0: no response from the state service
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, http.StatusText(status), status)
	return a, false
}

// serveStatus responds with the core's answer as JSON.
func serveStatus(w http.ResponseWriter, queue chan<- request, id uint64, in controller.Input) {
	a, ok := callCoreOrReject(w, queue, id, in)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a.Body); err != nil {
		slog.Debug("failed to write response", "err", err)
	}
}

// spanFlushTimeout bounds the wait for the remaining spans to be written at shutdown.
const spanFlushTimeout = time.Second

// openTrace returns an exporter that writes spans to target, the value of the setting named field. An empty
// target gives no exporter.
func openTrace(field, target, member string) (*spanexport.Exporter, error) {
	if target == "" {
		return nil, nil
	}
	spans, err := spanexport.Open(target, member)
	if err != nil {
		return nil, fmt.Errorf("field %s: %w", field, err)
	}
	return spans, nil
}

// startStatusEndpoint serves a status at the given address unless it is empty. It returns the function that
// stops the endpoint and writes the remaining spans.
func (s *Server) startStatusEndpoint(address, path string, serve http.HandlerFunc, spans *spanexport.Exporter) (stop func(), err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, serve)
	status := newHTTPServer(mux)
	if address != "" {
		ln, err := listen(address)
		if err != nil {
			return nil, err
		}
		go func() { slog.Info("status endpoint closed", "path", path, "err", status.Serve(ln)) }()
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), spanFlushTimeout)
		defer cancel()
		if err := status.Close(); err != nil {
			slog.Error("failed to close status endpoint", "path", path, "err", err)
		}
		if err := spans.Close(ctx); err != nil {
			slog.Error("failed to write spans", "err", err)
		}
	}, nil
}
