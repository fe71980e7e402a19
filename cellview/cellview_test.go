package cellview

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pumicefront/cells"
	"pumicefront/statusclient"
)

// startController starts an HTTP server in place of a controller and returns its address. It answers with the status s,
// and accepts declarations, into declared, only if s says that it leads.
func startController(t *testing.T, s cells.Status, declared *string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cells.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(s); err != nil {
			t.Error(err)
		}
	})
	mux.HandleFunc("POST "+cells.GonePath, func(w http.ResponseWriter, r *http.Request) {
		if !s.Leading {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		*declared = r.URL.Query().Get("cell") + " by " + r.URL.Query().Get("by")
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestPrintAndDeclareGone(t *testing.T) {
	declared := ""
	leader := cells.Status{Member: "n1", Leading: true, Cell: "gent", Ready: true, Lends: 40,
		Links: []cells.LinkStatus{{Cell: "joburg", AnsweredS: 3, Granted: 2, OldestEpoch: 7, GoneEpoch: 5, GoneBy: "an operator"}, {Cell: "brussel", AnsweredS: -1, Failures: 4}},
		Out:   []cells.TeamStatus{{Team: "red", Jobs: 2, Tasks: 30}}, In: []cells.TeamStatus{{Team: "blue", Jobs: 1, Tasks: 4}}}
	follower := startController(t, cells.Status{Member: "n0", Leader: "n1"}, nil)
	addresses := []string{follower, startController(t, leader, &declared)}
	var out bytes.Buffer
	if err := View.Print(context.Background(), &out, addresses); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"cell gent", "joburg   3 s ago   0", "up to 5 by an operator", "brussel  never     4", "red   out  2     30", "blue  in   1     4"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("output lacks %q:\n%s", part, out.String())
		}
	}
	if err := View.Print(context.Background(), &out, addresses[:1]); !errors.Is(err, statusclient.ErrNoLeader) {
		t.Errorf("print without a leader: %v", err)
	}
	if err := DeclareGone(context.Background(), addresses, "joburg", "an operator"); err != nil || declared != "joburg by an operator" {
		t.Errorf("error %v, declared %q", err, declared)
	}
	if err := DeclareGone(context.Background(), addresses[:1], "joburg", "an operator"); err == nil {
		t.Error("a declaration succeeds without a leader")
	}
}
