package server

import (
	"net/http"

	"pumicefront/balance"
	"pumicefront/controller"
	"pumicefront/movetrace"
)

// What operators may switch on beside load spreading: spans of moves, and an endpoint that tells of it.

// startSpreading starts what the operators' settings ask for, and returns what ends it.
func (s *Server) startSpreading() (stop func(), err error) {
	settings := s.op.Spreading
	if settings == nil {
		return func() {}, nil
	}
	spans, err := openTrace("load_spreading.trace", settings.Trace, s.cfg.Member)
	if err != nil {
		return nil, err
	}
	s.moves = movetrace.New(spans)
	return s.startOperatorsEndpoint(settings.StatusListen, balance.StatusPath, s.serveSpread, spans)
}

// serveSpread tells operators how load is spread.
func (s *Server) serveSpread(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	serveStatus(w, s.asked, id, controller.SpreadStatusRequest{Req: id})
}
