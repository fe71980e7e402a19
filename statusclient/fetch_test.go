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

// told is a status as a controller tells it.
type told struct {
	Member  string `json:"member"`
	Leader  string `json:"leader"`
	Leading bool   `json:"leading"`
}

func (s told) Leads() bool         { return s.Leading }
func (s told) KnownLeader() string { return s.Leader }
func (s told) AnsweredBy() string  { return s.Member }

// endpoint serves every request with answer, and returns its address.
func endpoint(t *testing.T, answer func(http.ResponseWriter)) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A refusal is a *StatusError with its status and the wait that it asks for; its text names both
// the target and the status.
func TestRefusalIsAStatusError(t *testing.T) {
	address := endpoint(t, func(w http.ResponseWriter) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, err := Ask(context.Background(), http.MethodGet, "http://"+address+"/zones")
	var refused *StatusError
	if !errors.As(err, &refused) || refused.Status != http.StatusServiceUnavailable || refused.RetryAfter != time.Second {
		t.Fatalf("%T %v", err, err)
	}
	if want := "ask http://" + address + "/zones: status 503"; err.Error() != want {
		t.Errorf("text %q, want %q", err.Error(), want)
	}
}

// Where controllers answer and none leads, the error names the last that answered and its leader,
// matches ErrNoLeader, and keeps the failures of the others.
func TestNoLeaderNamesWhoAnswered(t *testing.T) {
	follower := endpoint(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"member":"n0","leader":"n1"}`) })
	broken := endpoint(t, func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) })
	status, err := Fetch[told](context.Background(), []string{broken, follower}, "/zones")
	var none *NoLeaderError
	var refused *StatusError
	if !errors.Is(err, ErrNoLeader) || !errors.As(err, &none) || none.AnsweredBy != "n0" || none.Leader != "n1" || status.Member != "n0" {
		t.Errorf("%v, %+v", err, status)
	}
	if !errors.As(err, &refused) || refused.Status != http.StatusInternalServerError {
		t.Errorf("the failure of the other is lost: %v", err)
	}
	if !strings.Contains(err.Error(), `n0 says that "n1" does`) {
		t.Errorf("text %q", err.Error())
	}
	leader := endpoint(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"member":"n1","leading":true}`) })
	if status, err := Fetch[told](context.Background(), []string{broken, follower, leader}, "/zones"); err != nil || status.Member != "n1" {
		t.Errorf("with a leader: %+v %v", status, err)
	}
}
