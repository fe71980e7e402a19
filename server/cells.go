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

// The listener for other cells and for the operators of spilling over.

// startCells starts it where the operators' settings ask for it, and returns what ends it.
func (s *Server) startCells() (stop func(), err error) {
	if s.op.Cell == nil {
		return func() {}, nil
	}
	s.cells = celllink.NewClient(s.op.Cell)
	ln, err := listen(s.op.Cell.Listen)
	if err != nil {
		return nil, err
	}
	ln = netutil.LimitListener(ln, cellConnections*len(s.op.Cell.Peers))
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+cells.MessagesPath, s.serveCellMessages)
	mux.HandleFunc("GET "+cells.StatusPath, s.serveCellStatus)
	mux.HandleFunc("POST "+cells.GonePath, s.serveCellGone)
	h := operatorsServer(mux)
	go func() { slog.Info("listener for cells closed", "err", h.Serve(ln)) }()
	return func() {
		if err := h.Close(); err != nil {
			slog.Error("listener for cells", "err", err)
		}
	}, nil
}

func (s *Server) serveCellMessages(w http.ResponseWriter, r *http.Request) {
	in, err := celllink.ReadRequest(r.Body, cells.Cell(s.op.Cell.Name))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case !s.gate.known(in.From):
		http.Error(w, "this cell is no peer", http.StatusForbidden)
		return
	case !s.gate.admits(in.From, time.Now()):
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	in.Req = s.nextID.Add(1)
	a, ok := askCore(w, s.byCells, in.Req, in)
	if !ok {
		return
	}
	body, _ := a.Body.(controller.CellAnswer)
	raw, err := celllink.WriteAnswer(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(raw); err != nil {
		slog.Debug("answer not written", "err", err)
	}
}

func (s *Server) serveCellStatus(w http.ResponseWriter, _ *http.Request) {
	id := s.nextID.Add(1)
	serveStatus(w, s.byCells, id, controller.CellStatusRequest{Req: id})
}

// serveCellGone takes the operators' word that a cell is gone.
func (s *Server) serveCellGone(w http.ResponseWriter, r *http.Request) {
	id := s.nextID.Add(1)
	in := controller.CellGoneRequest{Req: id, Cell: cells.Cell(r.URL.Query().Get("cell")), By: r.URL.Query().Get("by")}
	if _, ok := askCore(w, s.byCells, id, in); ok {
		w.WriteHeader(http.StatusOK)
	}
}
