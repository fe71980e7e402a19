package server

import (
	"net/http"

	"pumicefront/controller"
	"pumicefront/zones"
	"pumicefront/zonetrace"
)

// Optional observability of zone recovery: spans of recoveries, and a status endpoint.

// startZoneStatus starts the span export and the status endpoint of zone recovery as configured, and
// returns the function that stops them.
func (s *Server) startZoneStatus() (stop func(), err error) {
	settings := s.operator.ZoneRecovery
	if settings == nil {
		return func() {}, nil
	}
	spans, err := openTrace("zone_recovery.trace", settings.Trace, s.cfg.Member)
	if err != nil {
		return nil, err
	}
	s.zoneTrace = zonetrace.New(spans)
	return s.startStatusEndpoint(settings.StatusListen, zones.StatusPath, s.serveZoneStatus, spans)
}

// serveZoneStatus serves operators the status of the zones.
func (s *Server) serveZoneStatus(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	serveStatus(w, s.requests, id, controller.ZoneStatusRequest{Req: id})
}
