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

// told is a status for tests.
type told struct{ Member, Leader, Text string }

func (t told) Leads() bool         { return t.Text != "" }
func (t told) KnownLeader() string { return t.Leader }
func (t told) AnsweredBy() string  { return t.Member }

var view = View[told]{Path: "/told", Render: func(t told) string { return t.Text + "\n" }}

// endpoint stands in for a controller's status endpoint, and returns its address.
func endpoint(t *testing.T, answer func(w http.ResponseWriter)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != view.Path || r.Method != http.MethodGet {
			t.Errorf("%s %s", r.Method, r.URL.Path)
		}
		answer(w)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func says(body string) func(w http.ResponseWriter) {
	return func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) }
}

// Every wait ends: one who listens and says nothing is given up.
func TestFetchGivesUp(t *testing.T) {
	gone := make(chan struct{})
	defer close(gone)
	silent := endpoint(t, func(http.ResponseWriter) { <-gone })
	began := time.Now()
	if _, err := view.Fetch(context.Background(), []string{silent}); err == nil || time.Since(began) > 2*statusclient.AskTimeout {
		t.Errorf("%v after %v", err, time.Since(began))
	}
}

func TestPrintAsksUntilALeaderAnswers(t *testing.T) {
	follower := endpoint(t, says(`{"Member":"n0","Leader":"n1"}`))
	odd := endpoint(t, says("<html>"))
	var out bytes.Buffer
	err := view.Print(context.Background(), &out, []string{odd, follower, endpoint(t, says(`{"Member":"n1","Text":"all is well"}`))})
	if err != nil || out.String() != "all is well\n" {
		t.Errorf("%v, shown: %q", err, out.String())
	}
	if err := view.Print(context.Background(), &out, []string{follower, odd}); !errors.Is(err, statusclient.ErrNoLeader) || !strings.Contains(err.Error(), `"n1"`) {
		t.Errorf("without a leader: %v", err)
	}
}

func TestViewKeepsTheLastAnswer(t *testing.T) {
	var m tea.Model = model[told]{view: view, ctx: context.Background(), interval: time.Second}
	if !strings.Contains(m.View(), "asking") {
		t.Errorf("at first: %s", m.View())
	}
	m, _ = m.Update(fetched[told]{status: told{Member: "n1", Text: "all is well"}})
	m, next := m.Update(fetched[told]{err: statusclient.ErrNoLeader})
	if shown := m.View(); !strings.Contains(shown, "all is well") || !strings.Contains(shown, statusclient.ErrNoLeader.Error()) || next == nil {
		t.Errorf("after a failure: %s", shown)
	}
	if _, end := m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune("q")}); end == nil || end() != tea.Quit() {
		t.Error("q does not end it")
	}
}
