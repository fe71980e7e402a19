package sim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pumicefront/cells"
	"pumicefront/internal/history"
	"pumicefront/statusclient"
	"pumicefront/wire"
)

const liveCellSettings = `
leader_life  = "2s"
silent_share = 0.4
cell {
  name         = %q
  listen       = %q
  spill_after  = "2s"
  return_after = "8s"
  lend_cores   = %d
%s}
`

// TestLiveCells runs four cells with two controllers each as real processes over TCP. Users submit far more
// work to the first cell, the home, than it has room for, so jobs spill over into the others. The
// controllers of each of the other cells are killed and restarted while the cell holds jobs granted by the
// home, then those of the home, one at a time. Every job must end with one final answer, and no task may run
// twice at once, in one cell or in two.
func TestLiveCells(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	const cellCount, controllersPerCell = 4, 2
	federation := NewLiveFederation(ctx, 2, cellCount)
	binary := buildTestProgram(t, ctx)
	listens := make([][]string, cellCount)
	for i := range listens {
		addresses, err := freeAddresses(controllersPerCell)
		if err != nil {
			t.Fatal(err)
		}
		listens[i] = addresses
	}
	controllers := make([][]*controllerProcess, cellCount)
	for i, w := range federation.Worlds {
		w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 0.5, 4, 10
		w.cfg.Facts.Cloud.ListLagS, w.faults.fastBoots = 1, true
		peers := ""
		for j := range cellCount {
			if j != i {
				peers += fmt.Sprintf("  peer %q {\n    addresses = [\"%s\"]\n  }\n", cellName(j), strings.Join(listens[j], `", "`))
			}
		}
		lendCores := 24
		if i == 0 {
			lendCores = 0
		}
		controllers[i] = startTestControllers(t, ctx, w, binary, controllersPerCell, func(_ *controllerProcess, k int) string {
			return fmt.Sprintf(liveCellSettings, cellName(i), listens[i][k], lendCores, peers)
		})
	}
	run := func(d time.Duration) {
		if err := federation.RunLive(d); err != nil || len(federation.Violations()) > 0 {
			t.Fatalf("run failed with error %v, violations: %v", err, federation.Violations())
		}
	}
	federation.Worlds[0].after(3*time.Second, func() { submitLiveCellJobs(federation.Worlds[0], 40) })
	run(5 * time.Second)
	sawGrantedJobs := false // whether the home's status has listed jobs granted to other cells
	for range 11 {
		run(time.Second)
		status, err := statusclient.Fetch[cells.Status](ctx, listens[0], cells.StatusPath)
		sawGrantedJobs = sawGrantedJobs || err == nil && status.Ready && len(status.Out) > 0
	}
	if !sawGrantedJobs {
		t.Error("the home's status never listed a job granted to another cell")
	}
	for i := 1; i <= 3; i++ { // all controllers of one cell after the other, while the cell holds granted jobs
		for _, p := range controllers[i] {
			p.kill()
		}
		run(3 * time.Second)
		for _, p := range controllers[i] {
			restartController(t, ctx, p)
		}
		run(2 * time.Second)
	}
	for _, p := range controllers[0] {
		p.kill()
		run(time.Second)
		restartController(t, ctx, p)
	}
	run(24 * time.Second)
	checkLiveCells(t, federation)
}

// submitLiveCellJobs submits more arrays at once than the cell has room for, and cancels every fourth.
func submitLiveCellJobs(w *World, jobs int) {
	for id := range jobs {
		j := &simJob{spec: wire.Job{ID: fmt.Sprintf("req-%06d", id), Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard",
			Tasks: 4, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", id%3), ImageGB: 1}, runTime: w.between(2*time.Second, 5*time.Second), done: make([]bool, 4)}
		w.users.assignHome(j)
		w.users.submitUncancelled(j)
		if id%4 == 3 {
			w.after(w.between(time.Second, 8*time.Second), func() { w.users.cancel(j) })
		}
	}
}

// checkLiveCells checks the rules of all cells and the history of events in the whole federation. It also
// checks that at least five jobs ran in another cell than their home and at least one was cancelled.
func checkLiveCells(t *testing.T, federation *Federation) {
	t.Helper()
	if len(federation.Violations()) == 0 {
		federation.Worlds[0].checkEnds()
	}
	for _, violation := range federation.Violations() {
		t.Error(violation)
	}
	if found := history.Check(federation.history); len(found) > 0 {
		t.Errorf("%d violations in the history, the first: %+v", len(found), found[0])
	}
	cancelled := 0
	for _, j := range federation.Worlds[0].users.jobsBySubmission {
		if j.reportedCancelled {
			cancelled++
		}
	}
	if len(federation.startsElsewhere) < 5 || cancelled == 0 {
		t.Errorf("%d jobs ran in another cell, want at least 5; %d jobs cancelled, want at least 1", len(federation.startsElsewhere), cancelled)
	}
	t.Logf("%d events, %d jobs ran in another cell, %d jobs cancelled", len(federation.history), len(federation.startsElsewhere), cancelled)
}
