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
		status       int // 0: the request is passed on to the core
		want         controller.UserOp
	}{
		{"GET", "/ready", nil, 0, controller.UserReady},
		{"POST", "/v2/runs", []byte("x"), 0, controller.UserSubmit},
		{"GET", "/v2/runs/req-1", nil, 0, controller.UserPoll},
		{"POST", "/v2/runs/req-1/abort", nil, 0, controller.UserCancel},
		{"POST", "/v1/report", report, 0, 0},
		{"GET", "/v2/runs", nil, http.StatusMethodNotAllowed, 0},
		{"POST", "/ready", nil, http.StatusMethodNotAllowed, 0},
		{"DELETE", "/v2/runs/req-1", nil, http.StatusMethodNotAllowed, 0},
		{"GET", "/v2/runs/req-1/abort", nil, http.StatusMethodNotAllowed, 0},
		{"GET", "/v2/runs/req-1/tasks", nil, http.StatusNotFound, 0},
		{"GET", "/", nil, http.StatusNotFound, 0},
		{"POST", "/v1/report", []byte("x"), http.StatusBadRequest, 0},
		{"POST", "/v2/runs", bytes.Repeat([]byte("x"), wire.MaxBodyBytes+1), http.StatusBadRequest, 0},
	} {
		input, status := new(Server).route(1, httptest.NewRequest(c.method, c.path, bytes.NewReader(c.body)))
		if status != c.status {
			t.Errorf("%s %s: status %d, want %d", c.method, c.path, status, c.status)
			continue
		}
		if u, ok := input.(controller.UserRequest); status == 0 && ok && (u.Op != c.want || u.Op == controller.UserPoll && u.Job != "req-1") {
			t.Errorf("%s %s: %+v", c.method, c.path, u)
		}
	}
}

// A request that does not fit into the queue is rejected immediately, with a Retry-After header.
func TestFullQueueRejectsImmediately(t *testing.T) {
	s := &Server{requests: make(chan request)} // unbuffered and without a receiver
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("POST", "/v2/runs", strings.NewReader("x")))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1" {
		t.Errorf("status %d, retry after %q", w.Code, w.Header().Get("Retry-After"))
	}
}

// A port that is still in use when the process starts must not make the process exit.
func TestListenRetriesWhilePortIsInUse(t *testing.T) {
	occupied, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := occupied.Addr().String()
	done := make(chan error)
	go func() {
		ln, err := listen(addr)
		if err == nil {
			err = ln.Close()
		}
		done <- err
	}()
	if err := occupied.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := listen("203.0.113.1:1"); err == nil {
		t.Error("listening on an address that this machine does not have gave no error")
	}
}

// Near the connection limit, workers' connections are closed after each report; users keep theirs.
func TestWorkerConnectionsCloseNearLimit(t *testing.T) {
	cfg := &config.Platform{}
	cfg.Facts.Resources.MaxConnections = 40
	s := &Server{cfg: cfg, requests: make(chan request, 1)}
	connectionHeader := func(path string, body []byte) string {
		go func() {
			r := <-s.requests
			r.reply <- timedAnswer{controller.Answer{Status: http.StatusOK, Body: struct{}{}}, time.Now()}
		}()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("POST", path, bytes.NewReader(body)))
		return w.Header().Get("Connection")
	}
	report := wire.Marshal(wire.Report{Machine: "i-1"})
	if got := connectionHeader("/v1/report", report); got != "" {
		t.Errorf("connection header %q far from the connection limit", got)
	}
	for range s.maxConnections() {
		s.trackConnection(nil, http.StateNew)
	}
	if got := connectionHeader("/v1/report", report); got != "close" {
		t.Errorf("connection header %q for a worker near the connection limit", got)
	}
	if got := connectionHeader("/v2/runs", []byte("x")); got != "" {
		t.Errorf("connection header %q for a user", got)
	}
	s.trackConnection(nil, http.StateClosed)
	if s.conns.Load() != int64(s.maxConnections()-1) {
		t.Errorf("%d connections open", s.conns.Load())
	}
}

// An answer that the core made more than maxAnswerAge ago, because the process was paused before sending it, is
// replaced by a rejection: another controller may have answered with newer state since.
func TestStaleAnswersAreRejected(t *testing.T) {
	for age, want := range map[time.Duration]int{0: http.StatusOK, maxAnswerAge + time.Second: http.StatusServiceUnavailable} {
		s := &Server{cfg: &config.Platform{}, requests: make(chan request, 1)}
		go func() {
			r := <-s.requests
			r.reply <- timedAnswer{controller.Answer{Status: http.StatusOK, Body: struct{}{}}, time.Now().Add(-age)}
		}()
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/v2/runs/req-1", nil))
		if w.Code != want {
			t.Errorf("answer made %v ago: status %d, want %d", age, w.Code, want)
		}
	}
}

// Calls of a peer cell beyond its rate limit are rejected immediately; they take no slots in the queue of user
// requests and do not count against the rate limits of other cells. Calls of a cell that is not a peer are always
// rejected.
func TestCellFloodDoesNotAffectOtherClients(t *testing.T) {
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
	answerNextCellCall := func() {
		r := <-s.cellRequests
		r.reply <- timedAnswer{controller.Answer{Status: http.StatusOK, Body: controller.CellAnswer{}}, time.Now()}
	}
	statuses := map[int]int{}
	for range 500 {
		if len(s.requests) > 0 {
			t.Fatal("a call of a cell was put into the queue of user requests")
		}
		go answerNextCellCall()
		w := call("b")
		if statuses[w.Code]++; w.Code == http.StatusTooManyRequests && w.Header().Get("Retry-After") != "1" {
			t.Error("no Retry-After header")
		}
	}
	if statuses[http.StatusOK] < cellCallBurst || statuses[http.StatusTooManyRequests] < 400 || len(statuses) != 2 {
		t.Errorf("statuses of 500 calls in a row: %v", statuses)
	}
	if w := call("c"); w.Code != http.StatusOK {
		t.Errorf("call of another peer: status %d", w.Code)
	}
	if w := call("d"); w.Code != http.StatusForbidden {
		t.Errorf("call of a cell that is not a peer: status %d", w.Code)
	}
}
