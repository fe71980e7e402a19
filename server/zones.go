package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"time"

	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/zones"
	"pumicefront/zonetrace"
)

// What operators may switch on beside zone recovery: spans, and an endpoint that tells of the zones.

// closeTimeout bounds the wait for the last spans to be written.
const closeTimeout = time.Second

// startZones starts what the operators' settings ask for, and returns what ends it.
func (s *Server) startZones() (stop func(), err error) {
	settings := s.op.ZoneRecovery
	if settings == nil {
		return func() {}, nil
	}
	if s.zones, err = openTrace(settings, s.cfg.Member); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+zones.StatusPath, s.serveZones)
	status := operatorsServer(mux)
	if settings.StatusListen != "" {
		ln, err := listen(settings.StatusListen)
		if err != nil {
			return nil, err
		}
		go func() { slog.Info("status endpoint closed", "err", status.Serve(ln)) }()
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := status.Close(); err != nil {
			slog.Error("status endpoint", "err", err)
		}
		if err := s.zones.Close(ctx); err != nil {
			slog.Error("spans not written", "err", err)
		}
	}, nil
}

// openTrace opens where spans are written to; without such a place there is no recorder.
func openTrace(settings *config.ZoneRecovery, member string) (*zonetrace.Recorder, error) {
	var out io.Writer
	switch settings.Trace {
	case "":
		return nil, nil
	case config.TraceStderr:
		out = os.Stderr
	default:
		file, err := os.OpenFile(settings.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("field zone_recovery.trace: %w", err)
		}
		out = file
	}
	recorder, err := zonetrace.New(out, member)
	if err != nil {
		return nil, fmt.Errorf("field zone_recovery.trace: %w", err)
	}
	return recorder, nil
}

// serveZones tells operators of the zones.
func (s *Server) serveZones(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	s.serveStatus(w, id, controller.ZoneStatusRequest{Req: id})
}
