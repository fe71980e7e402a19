package server

import (
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"pumicefront/celllink"
	"pumicefront/cells"
	"pumicefront/controller"
)

// The listener for other cells and for operators of spillover between cells.

// startCellListener starts the listener if the settings configure a cell, and returns the function that
// stops it.
func (s *Server) startCellListener() (stop func(), err error) {
	if s.operator.Cell == nil {
		return func() {}, nil
	}
	s.cellClient = celllink.NewClient(s.operator.Cell)
	ln, err := listen(s.operator.Cell.Listen)
	if err != nil {
		return nil, err
	}
	ln = netutil.LimitListener(ln, connectionsPerCell*len(s.operator.Cell.Peers))
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cells.MessagesPath, s.serveCellMessages)
	mux.HandleFunc("GET "+cells.StatusPath, s.serveCellStatus)
	mux.HandleFunc("POST "+cells.GonePath, s.serveDeclareCellGone)
	httpServer := newHTTPServer(mux)
	go func() { slog.Info("listener for cells closed", "err", httpServer.Serve(ln)) }()
	return func() {
		if err := httpServer.Close(); err != nil {
			slog.Error("failed to close listener for cells", "err", err)
		}
	}, nil
}

func (s *Server) serveCellMessages(w http.ResponseWriter, r *http.Request) {
	in, err := celllink.ReadRequest(r.Body, cells.Cell(s.operator.Cell.Name))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case !s.cellLimiter.isPeer(in.From):
		http.Error(w, "this cell is no peer", http.StatusForbidden)
		return
	case !s.cellLimiter.allow(in.From, time.Now()):
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	in.Req = s.nextID.Add(1)
	a, ok := callCoreOrReject(w, s.cellRequests, in.Req, in)
	if !ok {
		return
	}
	body, _ := a.Body.(controller.CellAnswer)
	raw, err := celllink.EncodeAnswer(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(raw); err != nil {
		slog.Debug("failed to write response", "err", err)
	}
}

func (s *Server) serveCellStatus(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	serveStatus(w, s.cellRequests, id, controller.CellStatusRequest{Req: id})
}

// serveDeclareCellGone serves an operator's declaration that a cell is permanently gone and has ended every
// job granted to it.
func (s *Server) serveDeclareCellGone(w http.ResponseWriter, r *http.Request) {
	id := s.nextID.Add(1)
	in := controller.CellGoneRequest{Req: id, Cell: cells.Cell(r.URL.Query().Get("cell")), By: r.URL.Query().Get("by")}
	if _, ok := callCoreOrReject(w, s.cellRequests, id, in); ok {
		w.WriteHeader(http.StatusOK)
	}
}
