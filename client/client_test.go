package client

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pumicefront/controller"
	"pumicefront/wire"
)

// However many workers are called at once, sockets are left for the state service.
func TestCallsOfWorkersAreBounded(t *testing.T) {
	const most, calls = 4, 40
	var now, peak atomic.Int64
	var first sync.WaitGroup
	first.Add(most)
	release := make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := now.Add(1); n > peak.Load() {
			peak.Store(n)
		}
		select {
		case <-release:
		default:
			first.Done()
			<-release
		}
		now.Add(-1)
		w.Write(wire.Marshal(wire.Report{Machine: "i-1"}))
	}))
	defer worker.Close()
	state := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	}))
	defer state.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	c := New(addr(state), "127.0.0.1:1", most)
	var done sync.WaitGroup
	for range calls {
		done.Go(func() {
			r := c.Worker(controller.WorkerCall{Machine: "i-1", Addr: addr(worker), Timeout: time.Minute})
			if r.Status != http.StatusOK || r.Report.Machine != "i-1" {
				t.Errorf("status %d, %+v", r.Status, r.Report)
			}
		})
	}
	first.Wait()
	if r := c.State(controller.StateCall{Op: controller.OpGet, Key: "x", Timeout: time.Minute}); r.Status != http.StatusNotFound {
		t.Errorf("the state service is not reached beside them: %d", r.Status)
	}
	close(release)
	done.Wait()
	if peak.Load() > most {
		t.Errorf("%d calls at once, at most %d", peak.Load(), most)
	}
}
