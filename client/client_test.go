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

// Guards against calls to many workers using up the sockets: concurrent worker calls stay within the
// bound, and a call to the state service succeeds while they are blocked.
func TestConcurrentWorkerCallsAreBounded(t *testing.T) {
	const maxConns, calls = 4, 40
	var inFlight, peak atomic.Int64
	var slotsFilled sync.WaitGroup
	slotsFilled.Add(maxConns)
	release := make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := inFlight.Add(1); n > peak.Load() {
			peak.Store(n)
		}
		select {
		case <-release:
		default:
			slotsFilled.Done()
			<-release
		}
		inFlight.Add(-1)
		w.Write(wire.Marshal(wire.Report{Machine: "i-1"}))
	}))
	defer worker.Close()
	state := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
	}))
	defer state.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	c := New(addr(state), "127.0.0.1:1", maxConns, func() bool { return true })
	stop := wire.Commands{Commands: []wire.Command{{Op: wire.OpStop, Task: "req-1/0", Attempt: 1}}}
	var done sync.WaitGroup
	for range calls {
		done.Go(func() {
			r := c.Worker(controller.WorkerCall{Machine: "i-1", Addr: addr(worker), Commands: stop, Timeout: time.Minute})
			if r.Status != http.StatusOK || r.Report.Machine != "i-1" {
				t.Errorf("status %d, report %+v", r.Status, r.Report)
			}
		})
	}
	slotsFilled.Wait()
	if r := c.State(controller.StateCall{Op: controller.OpGet, Key: "x", Timeout: time.Minute}); r.Status != http.StatusNotFound {
		t.Errorf("status %d of the state service while worker calls are blocked, want 404", r.Status)
	}
	close(release)
	done.Wait()
	if peak.Load() > maxConns {
		t.Errorf("%d concurrent worker calls, want at most %d", peak.Load(), maxConns)
	}
}

// A process may be paused between a decision and the resulting call, and another controller may lead by
// then. Without authority nothing is sent to a worker or the cloud.
func TestNoCallsWithoutAuthority(t *testing.T) {
	var calls atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Write(wire.Marshal(struct{}{}))
	}))
	defer service.Close()
	addr := strings.TrimPrefix(service.URL, "http://")
	authorized := false
	c := New(addr, addr, 4, func() bool { return authorized })
	callBoth := func() (int, int) {
		return c.Worker(controller.WorkerCall{Addr: addr, Timeout: time.Minute}).Status,
			c.Cloud(controller.CloudCall{Op: controller.CloudRelease, Timeout: time.Minute}).Status
	}
	if worker, cloud := callBoth(); worker != 0 || cloud != 0 || calls.Load() != 0 {
		t.Errorf("status %d from the worker and %d from the cloud, %d calls without authority", worker, cloud, calls.Load())
	}
	authorized = true
	if worker, cloud := callBoth(); worker != http.StatusOK || cloud != http.StatusOK || calls.Load() != 2 {
		t.Errorf("status %d from the worker and %d from the cloud, %d calls with authority", worker, cloud, calls.Load())
	}
}

// A new leader requests a report from every machine at once, and hundreds of them may hang. Commands to
// the other machines must still get a slot.
func TestReportRequestsLeaveSlotsForCommands(t *testing.T) {
	const maxConns = 4
	reportRequests := make(chan struct{}, maxConns*3)
	release := make(chan struct{})
	hungWorker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reportRequests <- struct{}{}
		<-release
	}))
	defer hungWorker.Close()
	healthyWorker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(wire.Marshal(wire.Report{Machine: "i-2"}))
	}))
	defer healthyWorker.Close()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	c := New(addr(healthyWorker), "127.0.0.1:1", maxConns, func() bool { return true })
	var done sync.WaitGroup
	for range maxConns * 3 {
		done.Go(func() { c.Worker(controller.WorkerCall{Machine: "i-1", Addr: addr(hungWorker), Timeout: time.Minute}) })
	}
	for range maxConns / 2 {
		<-reportRequests
	}
	run := wire.Commands{Commands: []wire.Command{{Op: wire.OpRun, Task: "req-1/0", Attempt: 1}}}
	if r := c.Worker(controller.WorkerCall{Machine: "i-2", Addr: addr(healthyWorker), Commands: run, Timeout: time.Minute}); r.Status != http.StatusOK {
		t.Errorf("status %d", r.Status)
	}
	if n := len(reportRequests); n > 0 {
		t.Errorf("%d report requests beyond half of the slots", n)
	}
	close(release)
	done.Wait()
}
