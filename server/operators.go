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

// What the listeners for operators and other cells have in common.

// operatorsServer is the server of such a listener.
func operatorsServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10}
}

// askCore has the core answer a request by way of a queue, or refuses it.
func askCore(w http.ResponseWriter, queue chan<- request, id uint64, in controller.Input) (controller.Answer, bool) {
	a, ok := ask(queue, id, in)
	if ok && a.Status == http.StatusOK {
		return a, true
	}
	status := a.Status
	if !ok || status == 0 { // 0: the state service has not answered
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, http.StatusText(status), status)
	return a, false
}

// serveStatus answers with what the core tells, as JSON.
func serveStatus(w http.ResponseWriter, queue chan<- request, id uint64, in controller.Input) {
	a, ok := askCore(w, queue, id, in)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a.Body); err != nil {
		slog.Debug("answer not written", "err", err)
	}
}

// closeTimeout bounds the wait for the last spans to be written.
const closeTimeout = time.Second

// openTrace opens where spans are written to, as a setting says; without such a place there is none.
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

// startOperatorsEndpoint serves a status at an address, if there is one, and returns what ends that and
// writes the last spans.
func (s *Server) startOperatorsEndpoint(address, path string, serve http.HandlerFunc, spans *spanexport.Exporter) (stop func(), err error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, serve)
	status := operatorsServer(mux)
	if address != "" {
		ln, err := listen(address)
		if err != nil {
			return nil, err
		}
		go func() { slog.Info("status endpoint closed", "path", path, "err", status.Serve(ln)) }()
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := status.Close(); err != nil {
			slog.Error("status endpoint", "path", path, "err", err)
		}
		if err := spans.Close(ctx); err != nil {
			slog.Error("spans not written", "err", err)
		}
	}, nil
}
