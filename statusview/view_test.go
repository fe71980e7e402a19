package statusview

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"pumicefront/statusclient"
)

// testStatus is a minimal status.
type testStatus struct{ Member, Leader, Text string }

func (t testStatus) Leads() bool         { return t.Text != "" }
func (t testStatus) KnownLeader() string { return t.Leader }
func (t testStatus) AnsweredBy() string  { return t.Member }

var testView = View[testStatus]{Path: "/status", Render: func(t testStatus) string { return t.Text + "\n" }}

// startEndpoint starts a server that acts as a controller's status endpoint, and returns its address.
func startEndpoint(t *testing.T, answer func(w http.ResponseWriter)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != testView.Path || r.Method != http.MethodGet {
			t.Errorf("%s %s", r.Method, r.URL.Path)
		}
		answer(w)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// respondWith returns a handler that responds with the given body.
func respondWith(body string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) }
}

// Fetching from a controller that accepts the connection but never responds must time out.
func TestFetchTimesOut(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := startEndpoint(t, func(http.ResponseWriter) { <-release })
	startedAt := time.Now()
	if _, err := testView.Fetch(context.Background(), []string{silent}); err == nil || time.Since(startedAt) > 2*statusclient.RequestTimeout {
		t.Errorf("error %v after %v, want a time-out", err, time.Since(startedAt))
	}
}

func TestPrintQueriesUntilLeaderAnswers(t *testing.T) {
	follower := startEndpoint(t, respondWith(`{"Member":"n0","Leader":"n1"}`))
	invalid := startEndpoint(t, respondWith("<html>"))
	var out bytes.Buffer
	err := testView.Print(context.Background(), &out, []string{invalid, follower, startEndpoint(t, respondWith(`{"Member":"n1","Text":"all is well"}`))})
	if err != nil || out.String() != "all is well\n" {
		t.Errorf("%v, shown: %q", err, out.String())
	}
	if err := testView.Print(context.Background(), &out, []string{follower, invalid}); !errors.Is(err, statusclient.ErrNoLeader) || !strings.Contains(err.Error(), `"n1"`) {
		t.Errorf("without a leader: got error %v", err)
	}
}

func TestViewKeepsLastStatusAfterFailure(t *testing.T) {
	var m tea.Model = model[testStatus]{view: testView, ctx: context.Background(), interval: time.Second}
	if !strings.Contains(m.View(), "loading") {
		t.Errorf("before the first response: %s", m.View())
	}
	m, _ = m.Update(fetchResult[testStatus]{status: testStatus{Member: "n1", Text: "all is well"}})
	m, next := m.Update(fetchResult[testStatus]{err: statusclient.ErrNoLeader})
	if shown := m.View(); !strings.Contains(shown, "all is well") || !strings.Contains(shown, statusclient.ErrNoLeader.Error()) || next == nil {
		t.Errorf("after a failed fetch: %s", shown)
	}
	if _, end := m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("q")}); end == nil || end() != tea.Quit() {
		t.Error("pressing q does not quit")
	}
}
