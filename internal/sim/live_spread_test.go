package sim

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pumicefront/balance"
	"pumicefront/internal/history"
	"pumicefront/spreadview"
	"pumicefront/wire"
)

const liveSpreadSettings = `
leader_life  = "2s"
silent_share = 0.4
idle_s       = 3600
load_spreading {
  settled          = "30s"
  stay             = "30s"
  moves_per_minute = 200
  keep_idle        = true
  status_listen    = %q
  trace            = %q
}
`

// TestLiveSpread runs twenty machines with three controllers as real processes over TCP. Work that is pinned
// to one zone forces the services into the other zone; when it has ended, load spreading moves replicas
// back. The leader is killed in the middle of a move. No task may run twice at once, no job may be
// reported in another state after a final one, and at the end all replicas must run.
func TestLiveSpread(t *testing.T) {
	const machines, replicas, killAfterStops = 20, 60, 5
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	w := NewLiveWorld(ctx, 2, Shape{Controllers: 3, Machines: machines, Scale: machines, Tasks: 50})
	w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 0.5, 4, 10
	w.cfg.Facts.Cloud.ListLagS, w.cloud.maxPerType = 1, machines
	w.faults.fastBoots, w.machinesAlwaysBoot = true, true
	controllers := startTestControllers(t, ctx, w, buildTestProgram(t, ctx), 3, func(c *controllerProcess, _ int) string {
		return fmt.Sprintf(liveSpreadSettings, c.statusAddr, c.tracePath)
	})
	run := func(d time.Duration) {
		if err := w.RunLive(d); err != nil || len(w.Violations) > 0 {
			t.Fatalf("%v, violations: %v", err, w.Violations)
		}
	}
	currentLeader := func() (*controllerProcess, balance.Status) {
		status, err := spreadview.View.Fetch(ctx, []string{controllers[0].statusAddr, controllers[1].statusAddr, controllers[2].statusAddr})
		if err != nil {
			t.Fatalf("at %v: %v", w.now, err)
		}
		return controllers[status.Member[1]-'0'], status // members are named n0, n1 and n2
	}
	submitLiveSpreadJobs(w)
	run(31 * time.Second)
	firstLeader, status := currentLeader()
	if status.Distribution.Machines != machines || status.Distribution.Maximum < 1.5 {
		t.Errorf("load is not skewed over all machines before the moves: %+v", status.Distribution)
	}

	stops := 0
	w.onStopped = func(*task) {
		if stops++; stops == killAfterStops {
			firstLeader.kill() // before this stop is reported to it; it has written its first moves to the trace by then
		}
	}
	for deadline := w.now + 25*time.Second; stops < killAfterStops && w.now < deadline; {
		run(200 * time.Millisecond)
	}
	if stops < killAfterStops {
		t.Fatalf("only %d tasks stopped for moves within 25 s", stops)
	}
	run(2 * time.Second)
	restartController(t, ctx, firstLeader)
	run(8 * time.Second)

	secondLeader, status := currentLeader()
	counts := checkLiveHistory(t, w)
	runningReplicas := 0
	w.forEachRunningTask(func(_ *host, task *task) {
		if task.job.spec.Kind == wire.KindService {
			runningReplicas++
		}
	})
	if secondLeader == firstLeader || runningReplicas != replicas || counts[history.Started] < replicas+stops {
		t.Errorf("leader unchanged %v, %d of %d replicas running, events %v", secondLeader == firstLeader, runningReplicas, replicas, counts)
	}
	trace, _ := os.ReadFile(firstLeader.tracePath)
	if !strings.Contains(string(trace), `"Name":"move"`) || !strings.Contains(string(trace), string(balance.Moved)) {
		t.Errorf("no completed move in the trace: %s", trace)
	}
	t.Logf("%d stops, final distribution %+v, move counts %+v", stops, status.Distribution, status.Counts)
}

// submitLiveSpreadJobs submits arrays that make the cloud boot all machines, then arrays that fill one zone
// for 18 s, then services that use the same image.
func submitLiveSpreadJobs(w *World) {
	submit := func(id int, spec wire.Job, run time.Duration) {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB, spec.Types = fmt.Sprintf("req-%06d", id), 1, "img-0", 1, []string{"big"}
		w.users.submitUncancelled(&simJob{spec: spec, runTime: run, done: make([]bool, spec.Tasks)})
	}
	arraySpec := wire.Job{Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard"}
	w.after(time.Second, func() {
		for i, zone := range w.shape.zones() {
			spec := arraySpec
			spec.Tasks, spec.CPUs, spec.Zone = 10, spreadMachineCores, zone
			submit(i, spec, time.Second)
		}
	})
	w.after(6*time.Second, func() {
		for i := range 8 {
			spec := arraySpec
			spec.Tasks, spec.CPUs, spec.Zone = 10, 2, "a"
			submit(10+i, spec, 18*time.Second)
		}
	})
	w.after(8500*time.Millisecond, func() {
		for i := range 10 {
			submit(20+i, wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "high", Tasks: 6, CPUs: 2}, 0)
		}
	})
}
