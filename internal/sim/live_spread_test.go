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

const liveSpreadOperators = `
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

// TestLiveSpread plays twenty machines with three controllers as real processes over TCP. Work that is
// bound to one zone keeps the rest in the other one; when it has ended, replicas move back. The leader is
// killed in the midst of a move. At every moment every task has one owner and every job one final
// answer, and in the end all replicas run.
func TestLiveSpread(t *testing.T) {
	const machines, replicas, killAt = 20, 60, 5
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	w := NewLive(ctx, 2, Shape{Controllers: 3, Machines: machines, Scale: machines, Tasks: 50})
	w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 0.5, 4, 10
	w.cfg.Facts.Cloud.ListLagS, w.cloud.most = 1, machines
	w.faults.fastBoots, w.alwaysUp = true, true
	cs := processes(t, ctx, w, program(t, ctx), 3, func(c *liveController, _ int) string {
		return fmt.Sprintf(liveSpreadOperators, c.status, c.trace)
	})
	play := func(d time.Duration) {
		if err := w.RunLive(d); err != nil || len(w.Rules) > 0 {
			t.Fatalf("%v, rules broken: %v", err, w.Rules)
		}
	}
	leads := func() (*liveController, balance.Status) {
		status, err := spreadview.View.Fetch(ctx, []string{cs[0].status, cs[1].status, cs[2].status})
		if err != nil {
			t.Fatalf("at %v: %v", w.now, err)
		}
		return cs[status.Member[1]-'0'], status
	}
	liveSpreadJobs(w)
	play(31 * time.Second)
	first, status := leads()
	if status.Distribution.Machines != machines || status.Distribution.Maximum < 1.5 {
		t.Errorf("the load is not skewed: %+v", status.Distribution)
	}

	stops := 0
	w.onStopped = func(*task) {
		if stops++; stops == killAt {
			first.kill() // before it hears of this stop; its first moves are written to the trace by then
		}
	}
	for deadline := w.now + 25*time.Second; stops < killAt && w.now < deadline; {
		play(200 * time.Millisecond)
	}
	if stops < killAt {
		t.Fatalf("%d moves", stops)
	}
	play(2 * time.Second)
	restart(t, ctx, first)
	play(8 * time.Second)

	second, status := leads()
	counts := checkLiveHistory(t, w)
	up := 0
	w.running(func(_ *host, task *task) {
		if task.job.spec.Kind == wire.KindService {
			up++
		}
	})
	if second == first || up != replicas || counts[history.Started] < replicas+stops {
		t.Errorf("the same leader %v, %d of %d replicas run, %v", second == first, up, replicas, counts)
	}
	trace, _ := os.ReadFile(first.trace)
	if !strings.Contains(string(trace), `"Name":"move"`) || !strings.Contains(string(trace), string(balance.Moved)) {
		t.Errorf("no move is traced: %s", trace)
	}
	t.Logf("%d stops, at the end %+v, %+v", stops, status.Distribution, status.Counts)
}

// liveSpreadJobs submits work that boots all machines, then arrays that fill one zone for a while, then
// services with the same image.
func liveSpreadJobs(w *World) {
	enter := func(id int, spec wire.Job, run time.Duration) {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB, spec.Types = fmt.Sprintf("req-%06d", id), 1, "img-0", 1, []string{"big"}
		w.users.enterQuietly(&simJob{spec: spec, run: run, done: make([]bool, spec.Tasks)})
	}
	array := wire.Job{Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard"}
	w.after(time.Second, func() {
		for i, zone := range w.shape.zones() {
			spec := array
			spec.Tasks, spec.CPUs, spec.Zone = 10, spreadMachineCores, zone
			enter(i, spec, time.Second)
		}
	})
	w.after(6*time.Second, func() {
		for i := range 8 {
			spec := array
			spec.Tasks, spec.CPUs, spec.Zone = 10, 2, "a"
			enter(10+i, spec, 18*time.Second)
		}
	})
	w.after(8500*time.Millisecond, func() {
		for i := range 10 {
			enter(20+i, wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "high", Tasks: 6, CPUs: 2}, 0)
		}
	})
}
