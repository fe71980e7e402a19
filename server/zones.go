package server

import (
	"net/http"

	"pumicefront/controller"
	"pumicefront/zones"
	"pumicefront/zonetrace"
)

// What operators may switch on beside zone recovery: spans, and an endpoint that tells of the zones.

// startZones starts what the operators' settings ask for, and returns what ends it.
func (s *Server) startZones() (stop func(), err error) {
	settings := s.op.ZoneRecovery
	if settings == nil {
		return func() {}, nil
	}
	spans, err := openTrace("zone_recovery.trace", settings.Trace, s.cfg.Member)
	if err != nil {
		return nil, err
	}
	s.zones = zonetrace.New(spans)
	return s.startOperatorsEndpoint(settings.StatusListen, zones.StatusPath, s.serveZones, spans)
}

// serveZones tells operators of the zones.
func (s *Server) serveZones(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	serveStatus(w, s.asked, id, controller.ZoneStatusRequest{Req: id})
}
