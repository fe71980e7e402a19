package server

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pumicefront/celllink"
	"pumicefront/cells"
	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

func TestRoute(t *testing.T) {
	report := wire.Marshal(wire.Report{Machine: "i-1"})
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
		want         controller.UserOp
	}{
		{"GET", "/ready", nil, 0, controller.UserReady},
		{"POST", "/v2/runs", []byte("x"), 0, controller.UserSubmit},
		{"GET", "/v2/runs/req-1", nil, 0, controller.UserPoll},
		{"POST", "/v2/runs/req-1/abort", nil, 0, controller.UserAbort},
		{"POST", "/v1/report", report, 0, 0},
		{"GET", "/v2/runs", nil, http.StatusMethodNotAllowed, 0},
		{"POST", "/ready", nil, http.StatusMethodNotAllowed, 0},
		{"DELETE", "/v2/runs/req-1", nil, http.StatusMethodNotAllowed, 0},
		{"GET", "/v2/runs/req-1/abort", nil, http.StatusMethodNotAllowed, 0},
		{"GET", "/v2/runs/req-1/tasks", nil, http.StatusNotFound, 0},
		{"GET", "/", nil, http.StatusNotFound, 0},
		{"POST", "/v1/report", []byte("x"), http.StatusBadRequest, 0},
		{"POST", "/v2/runs", bytes.Repeat([]byte("x"), wire.MaxBody+1), http.StatusBadRequest, 0},
	} {
		in, status := new(Server).route(1, httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
		if status != c.status {
			t.Errorf("%s %s: status %d, want %d", c.method, c.path, status, c.status)
			continue
		}
		if u, ok := in.(controller.UserRequest); status == 0 && ok && (u.Op != c.want || u.Op == controller.UserPoll && u.Job != "req-1") {
			t.Errorf("%s %s: %+v", c.method, c.path, u)
		}
	}
}

// What can't be taken is refused at once, with the time to come back.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	s := &Server{asked: make(chan request)} // nobody takes anything
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("POST", "/v2/runs", strings.NewReader("x")))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("status %d, retry after %q", w.Code, w.Header().Get("Retry-After"))
	}
}

// A port that is still held when the process starts must not end it.
func TestListenWaitsForItsPort(t *testing.T) {
	held, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := held.Addr().String()
	done := make(chan error)
	go func() {
		ln, err := listen(addr)
		if err == nil {
			err = ln.Close()
		}
		done <- err
	}()
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := listen("203.0.113.1:1"); err == nil {
		t.Error("an address of another machine is taken")
	}
}

// Where workers come close to using up the sockets, they are not left to hold them
// between reports; users keep theirs.
func TestCrowdedWorkersGiveTheirSocketsBack(t *testing.T) {
	cfg := &config.Platform{}
	cfg.Facts.Resources.MaxConnections = 40
	s := &Server{cfg: cfg, asked: make(chan request, 1)}
	ask := func(path string, body []byte) string {
		go func() {
			r := <-s.asked
			r.reply <- answer{controller.Answer{Status: http.StatusOK, Body: struct{}{}}, time.Now()}
		}()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("POST", path, bytes.NewReader(body)))
		return w.Header().Get("Connection")
	}
	report := wire.Marshal(wire.Report{Machine: "i-1"})
	if got := ask("/v1/report", report); got != "" {
		t.Errorf("connection %q though there are sockets", got)
	}
	for range s.maxConnections() {
		s.trackConnection(nil, http.StateNew)
	}
	if got := ask("/v1/report", report); got != "close" {
		t.Errorf("connection %q for a worker near the limit of connections", got)
	}
	if got := ask("/v2/runs", []byte("x")); got != "" {
		t.Errorf("connection %q for a user", got)
	}
	s.trackConnection(nil, http.StateClosed)
	if s.open.Load() != int64(s.maxConnections()-1) {
		t.Errorf("%d connections open", s.open.Load())
	}
}

// An answer that was decided on before the process stood still is not given: another
// controller may have told something newer since.
func TestOldAnswersAreNotGiven(t *testing.T) {
	for age, want := range map[time.Duration]int{0: http.StatusOK, answerLife + time.Second: http.StatusServiceUnavailable} {
		s := &Server{cfg: &config.Platform{}, asked: make(chan request, 1)}
		go func() {
			r := <-s.asked
			r.reply <- answer{controller.Answer{Status: http.StatusOK, Body: struct{}{}}, time.Now().Add(-age)}
		}()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/v2/runs/req-1", nil))
		if w.Code != want {
			t.Errorf("decided on %v ago: status %d, want %d", age, w.Code, want)
		}
	}
}

// A cell that floods is turned away at once and takes no place of a user, nor of another cell; a cell that
// is no peer is not heard at all.
func TestCellThatFloodsTurnsNobodyElseAway(t *testing.T) {
	op := config.DefaultOperator()
	op.Cell = &config.Cell{Name: "a", Peers: []config.CellPeer{{Name: "b"}, {Name: "c"}}}
	cfg := &config.Platform{}
	cfg.Facts.Resources.MaxConnections = 40
	s := New(cfg, op)
	call := func(from string) *httptest.ResponseRecorder {
		body, err := proto.Marshal(&celllink.Request{From: from})
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		s.serveCellMessages(w, httptest.NewRequest("POST", cells.MessagesPath, bytes.NewReader(body)))
		return w
	}
	answering := func() {
		r := <-s.byCells
		r.reply <- answer{controller.Answer{Status: http.StatusOK, Body: controller.CellAnswer{}}, time.Now()}
	}
	statuses := map[int]int{}
	for range 500 {
		if len(s.asked) > 0 {
			t.Fatal("a call of a cell takes the place of a user")
		}
		go answering()
		w := call("b")
		if statuses[w.Code]++; w.Code == http.StatusTooManyRequests && w.Header().Get("Retry-After") != "1" {
			t.Error("no time to come back")
		}
	}
	if statuses[http.StatusOK] < cellCallsAtOnce || statuses[http.StatusTooManyRequests] < 400 || len(statuses) != 2 {
		t.Errorf("answers to a flood: %v", statuses)
	}
	if w := call("c"); w.Code != http.StatusOK {
		t.Errorf("another cell gets %d", w.Code)
	}
	if w := call("d"); w.Code != http.StatusForbidden {
		t.Errorf("a cell that is no peer gets %d", w.Code)
	}
}
