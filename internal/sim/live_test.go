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

const liveOperators = `
leader_life  = "2s"
silent_share = 0.4
zone_recovery {
  lost_after     = "1500ms"
  hold_down      = "1s"
  status_listen  = %q
  trace          = %q
}
`

// program builds the program.
func program(t *testing.T, ctx context.Context) string {
	t.Helper()
	binary, err := buildProgram(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// processes starts controllers that are killed at the test's end at the latest.
func processes(t *testing.T, ctx context.Context, w *World, binary string, count int, operators func(c *liveController, i int) string) []*liveController {
	t.Helper()
	cs, err := startControllers(ctx, w, binary, t.TempDir(), count, operators)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range cs {
		t.Cleanup(c.kill)
	}
	return cs
}

func restart(t *testing.T, ctx context.Context, c *liveController) {
	t.Helper()
	if err := c.start(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestLiveZones plays three zones with three controllers as real processes over TCP: the zone of the
// leader is cut off with the leader in it, comes back, fails once more, and the next leader is
// killed meanwhile. At every moment every task has one owner and every job one final answer.
func TestLiveZones(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	w := NewLive(ctx, 1, Zoned)
	w.cfg.Facts.Workers.ReportS, w.cfg.Facts.Workers.LeaseS, w.cfg.Facts.Workers.CancelS = 0.5, 4, 10
	w.cfg.Facts.Cloud.ListLagS = 1
	w.faults.fastBoots = true
	cs := processes(t, ctx, w, program(t, ctx), 3, func(c *liveController, _ int) string {
		return fmt.Sprintf(liveOperators, c.status, c.trace)
	})
	addresses := []string{cs[0].status, cs[1].status, cs[2].status}
	play := func(d time.Duration) {
		if err := w.RunLive(d); err != nil || len(w.Rules) > 0 {
			t.Fatalf("%v, rules broken: %v", err, w.Rules)
		}
	}
	leads := func() (*liveController, zones.Status) {
		status, err := zoneview.View.Fetch(ctx, addresses)
		if err != nil {
			t.Fatalf("at %v: %v", w.now, err)
		}
		return cs[status.Member[1]-'0'], status
	}
	w.after(2*time.Second, func() { liveJobs(w, 24*time.Second) })
	play(11 * time.Second)

	first, _ := leads()
	zone := w.shape.zones()[first.node.i]
	w.isolate(zone, first.node, 13*time.Second)
	first.cut(true)
	play(11 * time.Second)
	second, status := leads()
	// When nothing is left of the zone that could tell, it is held down before it is back.
	if lost := zoneOf(status, zone); second == first || lost.Losses != 1 || lost.State == zones.Healthy {
		t.Errorf("11 s after the loss of zone %s with its leader %s: %+v", zone, first.node.name, status)
	}
	play(2 * time.Second)
	first.cut(false)
	play(4 * time.Second)

	w.darken(zone, 13*time.Second)
	play(2 * time.Second)
	second.kill()
	play(2 * time.Second)
	restart(t, ctx, second)
	play(20 * time.Second)

	_, status = leads()
	checkLive(t, w, status, zone)
	spans := ""
	for _, c := range cs {
		raw, _ := os.ReadFile(c.trace) // one that never led wrote nothing
		spans += string(raw)
	}
	if !strings.Contains(spans, `"zone suspected"`) || !strings.Contains(spans, `"zone lost"`) {
		t.Errorf("the loss is not traced: %s", spans)
	}
}

// zoneOf is what a status tells of a zone.
func zoneOf(s zones.Status, zone string) zones.ZoneStatus {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z
		}
	}
	return zones.ZoneStatus{}
}

// liveJobs submits services that spread over the zones, and short arrays of which some are cancelled.
func liveJobs(w *World, duration time.Duration) {
	enter := func(id int, spec wire.Job, run time.Duration) *simJob {
		spec.ID, spec.MemoryGB, spec.Image, spec.ImageGB = fmt.Sprintf("req-%06d", id), 1, fmt.Sprintf("img-%d", id%3), 1
		j := &simJob{spec: spec, run: run, done: make([]bool, spec.Tasks)}
		w.users.enterQuietly(j)
		return j
	}
	for i := range 3 {
		enter(i, wire.Job{Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 6, CPUs: 3, Spread: true, Types: []string{"small"}}, 0)
	}
	until, id := w.now+duration, 10
	var next func()
	next = func() {
		if w.now > until {
			return
		}
		j := enter(id, wire.Job{Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: 1 + id%9, CPUs: 1}, w.between(time.Second, 4*time.Second))
		if id%5 == 0 {
			w.after(w.between(0, 3*time.Second), func() { w.users.cancel(j) })
		}
		id++
		w.after(500*time.Millisecond, next)
	}
	next()
}

// checkLiveHistory checks the rules and the history, and counts what it has.
func checkLiveHistory(t *testing.T, w *World) map[history.Kind]int {
	t.Helper()
	if len(w.Rules) == 0 {
		w.checkEnds()
	}
	for _, r := range w.Rules {
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

// checkLive checks the rules, the history, and that the faults have come about.
func checkLive(t *testing.T, w *World, status zones.Status, zone string) {
	t.Helper()
	counts := checkLiveHistory(t, w)
	if counts[history.Started] < 150 || counts[history.Answered] < 100 || w.coverage["a zone with a controller cut off"] == 0 {
		t.Errorf("too little has happened: %v, %v", counts, w.coverage)
	}
	if z := zoneOf(status, zone); z.Penalty < 1.5 { // seen by the second and the third leader
		t.Errorf("the losses of zone %s are forgotten: %+v", zone, z)
	}
	t.Logf("%d starts, %d answers; at the end %+v", counts[history.Started], counts[history.Answered], status.Zones)
}
