package celllink

import (
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"pumicefront/cells"
	"pumicefront/config"
	"pumicefront/controller"
	"pumicefront/wire"
)

// startPeer starts an HTTP server in place of a controller of another cell and returns its address.
func startPeer(t *testing.T, serve http.HandlerFunc) string {
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Messages arrive as they were sent. A controller that is not the leader is skipped, and the one that answered is
// called first the next time.
func TestCallFindsTheLeader(t *testing.T) {
	spec := &wire.Job{ID: "req-000001", Team: "red", Tasks: 3}
	sent := []controller.CellMessage{
		{Message: cells.Message{Kind: cells.KindOffer, From: "a", To: "b", Job: "req-000001", Epoch: 7, Team: "red"}, Spec: spec},
		{Message: cells.Message{Kind: cells.KindRecall, From: "a", To: "b", Job: "req-000002", Epoch: 8, Cancel: true}},
	}
	status := controller.CellMessage{Message: cells.Message{Kind: cells.KindStatus, From: "b", To: "a", Job: "req-000002", Epoch: 8,
		State: cells.HolderEnded, Result: cells.ResultCancelled}}
	followerCalls := 0
	follower := startPeer(t, func(w http.ResponseWriter, _ *http.Request) {
		followerCalls++
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	leader := startPeer(t, func(w http.ResponseWriter, r *http.Request) {
		got, err := ReadRequest(r.Body, "b")
		if err != nil || r.URL.Path != cells.MessagesPath || got.From != "a" || got.Floor != 6 || got.Challenge != 12 || !reflect.DeepEqual(got.Messages, sent) {
			t.Errorf("received %+v, error %v", got, err)
		}
		raw, err := EncodeAnswer(controller.CellAnswer{Messages: []controller.CellMessage{status}, AvailableCores: 12, Challenge: 13})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(raw)
	})
	client := NewClient(&config.Cell{Name: "a", Peers: []config.CellPeer{{Name: "b", Addresses: []string{follower, leader}}}})
	for range 2 {
		got := client.Call(controller.CellCall{ID: 3, To: "b", Floor: 6, Messages: sent, Challenge: 12})
		if !got.OK || got.ID != 3 || got.AvailableCores != 12 || got.Challenge != 13 || !reflect.DeepEqual(got.Messages, []controller.CellMessage{status}) {
			t.Errorf("reply %+v", got)
		}
	}
	if followerCalls != 1 {
		t.Errorf("the follower is called %d times, want 1", followerCalls)
	}
}

// A call to a cell whose controllers do not answer, or answer with malformed data, fails within its timeout.
func TestCallTimesOut(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	silent := startPeer(t, func(http.ResponseWriter, *http.Request) { <-done })
	malformed := startPeer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "\xff\xff") })
	client := NewClient(&config.Cell{Name: "a", Peers: []config.CellPeer{{Name: "b", Addresses: []string{malformed, silent, silent, silent, silent}}}})
	start := time.Now()
	if r := client.Call(controller.CellCall{ID: 4, To: "b"}); r.OK || r.ID != 4 || time.Since(start) > callTimeout+addressTimeout {
		t.Errorf("reply %+v after %v", r, time.Since(start))
	}
	if _, err := ReadRequest(strings.NewReader("\xff"), "b"); err == nil {
		t.Error("a malformed request is accepted")
	}
}
