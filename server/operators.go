package server

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"pumicefront/controller"
)

// What the listeners for operators and other cells have in common.

// operatorsServer is the server of such a listener.
func operatorsServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 8 << 10}
}

// askCore has the core answer a request, or refuses it.
func (s *Server) askCore(w http.ResponseWriter, id uint64, in controller.Input) (controller.Answer, bool) {
	a, ok := s.ask(id, in)
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
func (s *Server) serveStatus(w http.ResponseWriter, id uint64, in controller.Input) {
	a, ok := s.askCore(w, id, in)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a.Body); err != nil {
		slog.Debug("answer not written", "err", err)
	}
}
