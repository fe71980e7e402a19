package statusclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// testStatus is a status in the JSON form that controllers return.
type testStatus struct {
	Member  string `json:"member"`
	Leader  string `json:"leader"`
	Leading bool   `json:"leading"`
}

func (s testStatus) Leads() bool         { return s.Leading }
func (s testStatus) KnownLeader() string { return s.Leader }
func (s testStatus) AnsweredBy() string  { return s.Member }

// startEndpoint starts a server that handles every request with answer, and returns its address.
func startEndpoint(t *testing.T, answer func(http.ResponseWriter)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// An error response is a *StatusError with its status and Retry-After delay, and its text names the target
// and the status.
func TestErrorResponseIsStatusError(t *testing.T) {
	address := startEndpoint(t, func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, err := SendRequest(context.Background(), http.MethodGet, "http://"+address+"/zones")
	var refused *StatusError
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable || refused.RetryAfter != time.Second {
		t.Fatalf("%T %v", err, err)
	}
	if want := "request http://" + address + "/zones: status 503"; err.Error() != want {
		t.Errorf("error text %q, want %q", err.Error(), want)
	}
}

// If controllers respond but none is the leader, the error names the last one that responded and the leader
// that it reports, matches ErrNoLeader, and contains the failures of the others.
func TestNoLeaderErrorNamesResponder(t *testing.T) {
	follower := startEndpoint(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"member":"n0","leader":"n1"}`) })
	broken := startEndpoint(t, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) })
	status, err := Fetch[testStatus](context.Background(), []string{broken, follower}, "/zones")
	var none *NoLeaderError
	var refused *StatusError
	if !errors.Is(err, ErrNoLeader) || !errors.As(err, &none) || none.AnsweredBy != "n0" || none.Leader != "n1" || status.Member != "n0" {
		t.Errorf("%v, %+v", err, status)
	}
	if !errors.As(err, &refused) || refused.Status != http.StatusInternalServerError {
		t.Errorf("the error does not contain the failure of the other controller: %v", err)
	}
	if !strings.Contains(err.Error(), `n0 reports leader "n1"`) {
		t.Errorf("error text %q", err.Error())
	}
	leader := startEndpoint(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"member":"n1","leading":true}`) })
	if status, err := Fetch[testStatus](context.Background(), []string{broken, follower, leader}, "/zones"); err != nil || status.Member != "n1" {
		t.Errorf("with a leader: %+v %v", status, err)
	}
}
