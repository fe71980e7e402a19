package sim

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pumicefront/internal/history"
	"pumicefront/wire"
	"pumicefront/zones"
	"pumicefront/zoneview"
)

const liveZoneSettings = `
leader_life  = "2s"
silent_share = 0.4
zone_recovery {
  lost_after     = "1500ms"
  hold_down      = "1s"
  status_listen  = %q
  trace          = %q
}
`

// buildTestProgram builds the pumicefront program and returns its path.
func buildTestProgram(t *testing.T, ctx context.Context) string {
	t.Helper()
	binary, err := buildProgram(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// startTestControllers starts controller processes, which are killed when the test ends at the latest.
func startTestControllers(t *testing.T, ctx context.Context, w *World, binary string, count int, operatorSettings func(c *controllerProcess, i int) string) []*controllerProcess {
	t.Helper()
	controllers, err := startControllers(ctx, w, binary, t.TempDir(), count, operatorSettings)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range controllers {
		t.Cleanup(c.kill)
	}
	return controllers
}

func restartController(t *testing.T, ctx context.Context, c *controllerProcess) {
	t.Helper()
	if err := c.start(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestLiveZones runs three zones with three controllers as real processes over TCP. The leader's zone is
// cut off together with the leader, recovers, and is cut off once more; the next leader is killed during
// the second loss. No task may run twice at once, and no job may be reported in another state after a
// final one.
func TestLiveZones(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	w := NewLiveWorld(ctx, 1, Zoned)
	w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 0.5, 4, 10
	w.cfg.Facts.Cloud.ListLagS = 1
	w.faults.fastBoots = true
	controllers := startTestControllers(t, ctx, w, buildTestProgram(t, ctx), 3, func(c *controllerProcess, _ int) string {
		return fmt.Sprintf(liveZoneSettings, c.statusAddr, c.tracePath)
	})
	addresses := []string{controllers[0].statusAddr, controllers[1].statusAddr, controllers[2].statusAddr}
	run := func(d time.Duration) {
		if err := w.RunLive(d); err != nil || len(w.Violations) > 0 {
			t.Fatalf("%v, violations: %v", err, w.Violations)
		}
	}
	currentLeader := func() (*controllerProcess, zones.Status) {
		status, err := zoneview.View.Fetch(ctx, addresses)
		if err != nil {
			t.Fatalf("at %v: %v", w.now, err)
		}
		return controllers[status.Member[1]-'0'], status // members are named n0, n1 and n2
	}
	w.after(2*time.Second, func() { submitLiveZoneJobs(w, 24*time.Second) })
	run(11 * time.Second)

	firstLeader, _ := currentLeader()
	zone := w.shape.zones()[firstLeader.controller.index]
	w.isolateZoneWithController(zone, firstLeader.controller, 13*time.Second)
	firstLeader.setPartitioned(true)
	run(11 * time.Second)
	secondLeader, status := currentLeader()
	// The zone may already be in hold-down: without a machine left that could still run tasks or report,
	// hold-down begins before the zone is reachable again.
	if lostZone := findZone(status, zone); secondLeader == firstLeader || lostZone.Losses != 1 || lostZone.State == zones.Healthy {
		t.Errorf("unexpected status 11 s after the loss of zone %s with its leader %s: %+v", zone, firstLeader.controller.name, status)
	}
	run(2 * time.Second)
	firstLeader.setPartitioned(false)
	run(4 * time.Second)

	w.cutOffZone(zone, 13*time.Second)
	run(2 * time.Second)
	secondLeader.kill()
	run(2 * time.Second)
	restartController(t, ctx, secondLeader)
	run(20 * time.Second)

	_, status = currentLeader()
	checkLiveZones(t, w, status, zone)
	traces := ""
	for _, c := range controllers {
		raw, _ := os.ReadFile(c.tracePath) // a controller that never led has no trace
		traces += string(raw)
	}
	if !strings.Contains(traces, `"zone suspected"`) || !strings.Contains(traces, `"zone lost"`) {
		t.Errorf("no spans of the suspected and lost zone in the traces: %s", traces)
	}
}

// findZone returns a zone's part of a status, or the zero value.
func findZone(s zones.Status, zone string) zones.ZoneStatus {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z
		}
	}
	return zones.ZoneStatus{}
}

// submitLiveZoneJobs submits services that spread over the zones, and for the given duration short arrays,
// every fifth of which is cancelled.
func submitLiveZoneJobs(w *World, duration time.Duration) {
	submit := func(id int, spec wire.Job, run time.Duration) *simJob {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB = fmt.Sprintf("req-%06d", id), 1, fmt.Sprintf("img-%d", id%3), 1
		j := &simJob{spec: spec, runTime: run, done: make([]bool, spec.Tasks)}
		w.users.submitUncancelled(j)
		return j
	}
	for i := range 3 {
		submit(i, wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 6, CPUs: 3, Spread: true, Types: []string{"small"}}, 0)
	}
	until, id := w.now+duration, 10
	var submitNext func()
	submitNext = func() {
		if w.now > until {
			return
		}
		j := submit(id, wire.Job{Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: 1 + id%9, CPUs: 1}, w.between(time.Second, 4*time.Second))
		if id%5 == 0 {
			w.after(w.between(0, 3*time.Second), func() { w.users.cancel(j) })
		}
		id++
		w.after(500*time.Millisecond, submitNext)
	}
	submitNext()
}

// checkLiveHistory checks the rules and the recorded history, and returns the number of events by kind.
func checkLiveHistory(t *testing.T, w *World) map[history.Kind]int {
	t.Helper()
	if len(w.Violations) == 0 {
		w.checkEnds()
	}
	for _, r := range w.Violations {
		t.Error(r)
	}
	for _, v := range history.Check(w.history) {
		t.Errorf("%s: %s", v.Rule, v.Text)
	}
	counts := map[history.Kind]int{}
	for _, e := range w.history {
		counts[e.Kind]++
	}
	return counts
}

// checkLiveZones checks the rules and the history, and that the faults took effect.
func checkLiveZones(t *testing.T, w *World, status zones.Status, zone string) {
	t.Helper()
	counts := checkLiveHistory(t, w)
	if counts[history.Started] < 150 || counts[history.Answered] < 100 || w.coverage["a zone with a controller in it partitioned for longer than a lease"] == 0 {
		t.Errorf("too few starts or answers, or no zone cut off with its controller: %v, %v", counts, w.coverage)
	}
	if z := findZone(status, zone); z.Penalty < 1.5 { // the losses occurred under two leaders; the last one must know both
		t.Errorf("penalty of zone %s does not include both losses: %+v", zone, z)
	}
	t.Logf("%d starts, %d answers; final zone status %+v", counts[history.Started], counts[history.Answered], status.Zones)
}
