package server

import (
	"net/http"

	"pumicefront/balance"
	"pumicefront/controller"
	"pumicefront/movetrace"
)

// Optional observability of load spreading: spans of moves, and a status endpoint.

// startLoadSpreadingStatus starts the span export and the status endpoint of load spreading as configured,
// and returns the function that stops them.
func (s *Server) startLoadSpreadingStatus() (stop func(), err error) {
	settings := s.operator.Spreading
	if settings == nil {
		return func() {}, nil
	}
	spans, err := openTrace("load_spreading.trace", settings.Trace, s.cfg.Member)
	if err != nil {
		return nil, err
	}
	s.moveTrace = movetrace.New(spans)
	return s.startStatusEndpoint(settings.StatusListen, balance.StatusPath, s.serveLoadSpreadingStatus, spans)
}

// serveLoadSpreadingStatus serves operators the status of load spreading.
func (s *Server) serveLoadSpreadingStatus(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	serveStatus(w, s.requests, id, controller.SpreadStatusRequest{Req: id})
}
