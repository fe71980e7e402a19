package zoneview

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"pumicefront/statusclient"
	"pumicefront/zones"
)

// startEndpoint starts a server that acts as a controller's status endpoint, and returns its address.
func startEndpoint(t *testing.T, answer func(w http.ResponseWriter)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != zones.StatusPath || r.Method != http.MethodGet {
			t.Errorf("%s %s", r.Method, r.URL.Path)
		}
		answer(w)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func serveZoneStatus(t *testing.T, s zones.Status) string {
	return startEndpoint(t, func(w http.ResponseWriter) {
		if err := json.NewEncoder(w).Encode(s); err != nil {
			t.Error(err)
		}
	})
}

var leaderStatus = zones.Status{Member: "n1", Leading: true,
	Zones: []zones.ZoneStatus{
		{Name: "east", State: zones.HeldDown, ForS: 3, Responsive: 5, Silent: 2, Losses: 1, HeldForS: 4, Window: 8, StartsInProgress: 3, Displaced: 12},
		{Name: "west", ForS: 60, Responsive: 9},
	},
	Waiting: []zones.ClassStatus{{Class: "batch", Tasks: 9, TeamLimit: 1, ZoneLimit: 5, Room: 3}},
}

func TestPrintQueriesUntilLeaderAnswers(t *testing.T) {
	follower := serveZoneStatus(t, zones.Status{Member: "n0", Leader: "n1"})
	broken := startEndpoint(t, func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	invalid := startEndpoint(t, func(w http.ResponseWriter) { _, _ = io.WriteString(w, "<html>") })
	var out bytes.Buffer
	if err := View.Print(context.Background(), &out, []string{broken, invalid, follower, serveZoneStatus(t, leaderStatus)}); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"east  held down  3 s", "4 s       3 of 8", "west  healthy", "batch  9        1           5     3"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("no %q in\n%s", line, out.String())
		}
	}
	err := View.Print(context.Background(), &out, []string{follower, broken, invalid})
	if !errors.Is(err, statusclient.ErrNoLeader) || !strings.Contains(err.Error(), `"n1"`) || !strings.Contains(err.Error(), "503") {
		t.Errorf("without a leader: got error %v", err)
	}
}

func TestWatchShowsStatusUntilQuit(t *testing.T) {
	keys, press := io.Pipe()
	var out bytes.Buffer
	address := serveZoneStatus(t, leaderStatus)
	done := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go func() {
		done <- View.Watch(ctx, []string{address}, 50*time.Millisecond, tea.WithInput(keys), tea.WithOutput(&out), tea.WithoutSignalHandler())
	}()
	time.Sleep(500 * time.Millisecond)
	if _, err := press.Write([]byte("q")); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil || !strings.Contains(out.String(), "held down") {
		t.Errorf("%v, shown: %q", err, out.String())
	}
}
