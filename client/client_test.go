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
	c := New(addr(state), "127.0.0.1:1", most, func() bool { return true })
	stop := wire.Commands{Commands: []wire.Command{{Op: wire.OpStop, Task: "req-1/0", Attempt: 1}}}
	var done sync.WaitGroup
	for range calls {
		done.Go(func() {
			r := c.Worker(controller.WorkerCall{Machine: "i-1", Addr: addr(worker), Commands: stop, Timeout: time.Minute})
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

// A process may stand still between a decision and the call that follows from it. By
// then another may lead: nothing is sent to a worker or the cloud.
func TestNothingIsSentWithoutAuthority(t *testing.T) {
	var calls atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Write(wire.Marshal(struct{}{}))
	}))
	defer service.Close()
	addr := strings.TrimPrefix(service.URL, "http://")
	may := false
	c := New(addr, addr, 4, func() bool { return may })
	both := func() (int, int) {
		return c.Worker(controller.WorkerCall{Addr: addr, Timeout: time.Minute}).Status,
			c.Cloud(controller.CloudCall{Op: controller.CloudRelease, Timeout: time.Minute}).Status
	}
	if w, k := both(); w != 0 || k != 0 || calls.Load() != 0 {
		t.Errorf("status %d and %d, %d calls without authority", w, k, calls.Load())
	}
	may = true
	if w, k := both(); w != http.StatusOK || k != http.StatusOK || calls.Load() != 2 {
		t.Errorf("status %d and %d, %d calls with authority", w, k, calls.Load())
	}
}

// Hundreds of machines may hang when a new leader asks all of them at once: commands to
// the others must find a place.
func TestAskingLeavesRoomForCommands(t *testing.T) {
	const most = 4
	asked := make(chan struct{}, most*3)
	release := make(chan struct{})
	hangs := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked <- struct{}{}
		<-release
	}))
	defer hangs.Close()
	works := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(wire.Marshal(wire.Report{Machine: "i-2"}))
	}))
	defer works.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	c := New(addr(works), "127.0.0.1:1", most, func() bool { return true })
	var done sync.WaitGroup
	for range most * 3 {
		done.Go(func() { c.Worker(controller.WorkerCall{Machine: "i-1", Addr: addr(hangs), Timeout: time.Minute}) })
	}
	for range most / 2 {
		<-asked
	}
	run := wire.Commands{Commands: []wire.Command{{Op: wire.OpRun, Task: "req-1/0", Attempt: 1}}}
	if r := c.Worker(controller.WorkerCall{Machine: "i-2", Addr: addr(works), Commands: run, Timeout: time.Minute}); r.Status != http.StatusOK {
		t.Errorf("status %d", r.Status)
	}
	if n := len(asked); n > 0 {
		t.Errorf("%d more machines asked than half of the places", n)
	}
	close(release)
	done.Wait()
}
