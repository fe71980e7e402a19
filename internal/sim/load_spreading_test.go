package sim

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pumicefront/balance"
	"pumicefront/internal/history"
	"pumicefront/wire"
)

// runWithFaults runs to the given time and checks the rules, the history and the limits on moves, and that
// every accepted array has completed unless it was cancelled.
func (r *spreadRun) runWithFaults(t *testing.T, until time.Duration) {
	t.Helper()
	w := r.w
	w.keepHistory = true
	w.after(spreadRestartAt, r.restartControllers)
	w.after(spreadFaultsEnd, func() {
		w.faultsEnd = w.now
		w.checkWaitingJobs(5 * time.Second)
	})
	w.Run(until)
	if len(w.Violations) == 0 {
		w.checkEnds()
		w.checkServed()
		r.checkMoveLimits()
	}
	for _, rule := range w.Violations {
		t.Errorf("seed %d: %s", r.seed, rule)
	}
	for _, v := range history.Check(w.history) {
		t.Errorf("seed %d: %s: %s", r.seed, v.Rule, v.Text)
	}
}

// TestSpreadMoveFaults injects each fault of moveFaults up to three times into a run of its own. No rule may
// be violated, every job must reach one final state, and moves must keep to their limits.
func TestSpreadMoveFaults(t *testing.T) {
	expectedCoverage := map[string]string{ // must occur in at least one run of the fault
		"the task ends as it is stopped":                         "a move ends: completed",
		"the destination is terminated":                          "a move ends: diverted",
		"the destination hangs":                                  "a move ends: diverted",
		"the cloud announces the termination of the destination": "reserved room is released: destination",
		"prod services take all room":                            "reserved room is released: urgent",
		"half of the machines are cut off":                       "reserved room is released: time-out",
		"the job is cancelled as it stops":                       "a move ends: cancelled",
		"the job is cancelled as it waits":                       "a move ends: cancelled",
		"the job is cancelled as it starts":                      "a move ends: cancelled",
	}
	type result struct {
		fault    string
		coverage map[string]int
	}
	seeds := runCount("PUMICEFRONT_SPREAD_SEEDS", 1)
	results := make(chan result, len(moveFaults())*seeds)
	t.Run("cases", func(t *testing.T) {
		for _, f := range moveFaults() {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) {
					t.Parallel()
					r := newSpreadRun(spreadFaultOptions(seed, 3+2*int(seed%2)))
					r.injectRepeatedly(f)
					r.runWithFaults(t, spreadFaultRunEnd)
					if r.w.coverage[f.name] == 0 || r.w.coverage["a move ends: moved"] == 0 {
						t.Errorf("the fault or a completed move did not occur: %v", r.w.coverage)
					}
					results <- result{f.name, r.w.coverage}
				})
			}
		}
	})
	close(results)
	occurrences := map[string]int{}
	for r := range results {
		occurrences[r.fault] += r.coverage[expectedCoverage[r.fault]]
	}
	for fault, end := range expectedCoverage {
		if occurrences[fault] == 0 {
			t.Errorf("did not occur with fault %q: %s", fault, end)
		}
	}
}

// TestSpreadFaults injects random faults at random steps of moves, among other faults, with three and five
// controllers.
func TestSpreadFaults(t *testing.T) {
	occurrences := map[string]int{}
	runs := runCount("PUMICEFRONT_SPREAD_RUNS", len(moveFaults()))
	results := make(chan map[string]int, runs)
	t.Run("runs", func(t *testing.T) {
		for seed := range uint64(runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				o := spreadFaultOptions(seed, 3+2*int(seed%2))
				o.constrained = seed%3 == 0
				r := newSpreadRun(o)
				r.w.deterministic = false
				injected := r.injectRandomly(int(seed))
				for at := spreadRestartAt + 30*time.Second; at < spreadFaultsEnd; at += r.w.between(15*time.Second, 40*time.Second) {
					r.w.after(at, r.w.drawFault(spreadFaultsEnd))
				}
				r.runWithFaults(t, spreadFaultRunEnd)
				results <- injected
			})
		}
	})
	close(results)
	for injected := range results {
		for name, times := range injected {
			occurrences[name] += times
		}
	}
	for _, f := range moveFaults() {
		if occurrences[f.name] == 0 {
			t.Errorf("did not occur: %s (%v)", f.name, occurrences)
		}
	}
}

// TestSpreadManyLeaders: ten leaders crash within two minutes. Each new one starts without a budget of
// moves, and tasks that an earlier leader has moved stay where they are.
func TestSpreadManyLeaders(t *testing.T) {
	o := spreadFaultOptions(3, 5)
	o.arrayTaskRun = 400 * time.Second
	r := newSpreadRun(o)
	crashedLeaders := 0
	for at := spreadRestartAt + 30*time.Second; at < spreadRestartAt+150*time.Second; at += 12 * time.Second {
		r.w.after(at, func() {
			if n := r.w.leaderOrFirst(); n.isLeader() {
				crashedLeaders++
				n.crash(2 * time.Second)
			}
		})
	}
	r.runWithFaults(t, spreadFaultRunEnd+300*time.Second)
	if crashedLeaders < 8 || len(r.movesByTerm()) < 2 {
		t.Errorf("%d leaders crashed, %d leaders moved tasks", crashedLeaders, len(r.movesByTerm()))
	}
	if twice := r.movedTwiceWithin(80 * time.Second); twice > 0 {
		t.Errorf("%d moves of tasks that had to stay after an earlier move", twice)
	}
}

// TestSpreadConstraintsAndLimits: moves must respect the constraints of jobs. While a task of a team at its
// limit moves, waiting work of the same team must not be started within the part of the limit that the moved
// task uses.
func TestSpreadConstraintsAndLimits(t *testing.T) {
	for seed := range uint64(runCount("PUMICEFRONT_SPREAD_SEEDS", 2)) {
		o := spreadFaultOptions(seed, 3)
		o.constrained = true
		r := newSpreadRun(o)
		team := &r.w.cfg.Facts.Teams[0]
		team.CPUs, team.CPUsMax = 64, 128 // exactly the cores of its jobs, all of which run before the next one is submitted
		for _, n := range r.w.controllers {
			n.boot()
		}
		r.w.after(spreadRestartAt-5*time.Second, func() {
			r.w.users.submitUncancelled(&simJob{spec: wire.Job{ID: "req-800000", Class: "bulk", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 20,
				CPUs: 2, MemoryGB: 2, Image: "img-hot-0", ImageGB: 1, Types: []string{"big"}}, runTime: 10 * time.Second, done: make([]bool, 20)})
		})
		r.runWithFaults(t, spreadFaultRunEnd)
		services := 0
		for _, m := range r.w.moves {
			if m.Outcome == balance.Moved && m.Team == "red" && r.w.users.jobs[m.Job].spec.Kind == wire.KindService {
				services++
			}
		}
		if services == 0 {
			t.Errorf("seed %d: no service replica of the team at its limit was moved (%v)", seed, r.w.coverage)
		}
	}
}

// TestSpreadMovesEnd: under a steady load no moves start after some time, both when idle machines are kept
// and when machines are consolidated and released. Load spreading must not cause machines to be rented.
func TestSpreadMovesEnd(t *testing.T) {
	for _, keepIdle := range []bool{true, false} {
		t.Run(fmt.Sprintf("idle machines are kept: %v", keepIdle), func(t *testing.T) {
			t.Parallel()
			rentedMachines := map[bool]int{}
			for _, on := range []bool{false, true} {
				o := defaultSpreadOptions(20, 5, on)
				o.arrayTaskRun = 3 * time.Hour
				o.changeSettings = func(s *balance.Settings) { s.KeepIdle = keepIdle }
				r := newSpreadRun(o)
				if !keepIdle {
					r.w.op.IdleS = 15
				}
				r.w.after(spreadRestartAt, r.restartControllers)
				r.w.Run(spreadRestartAt + time.Hour)
				rentedMachines[on] = len(r.w.hosts)
				for _, rule := range r.w.Violations {
					t.Error(rule)
				}
				late := 0
				for _, m := range r.startedMoves() {
					if m.At.Sub(r.w.start) > spreadRestartAt+5*time.Minute {
						late++
					}
				}
				if late > 0 || on && keepIdle && len(r.startedMoves()) == 0 {
					t.Errorf("%d moves, %d of them started later than five minutes after the restart", len(r.startedMoves()), late)
				}
			}
			if rentedMachines[true] > rentedMachines[false] {
				t.Errorf("%d machines were rented, %d without load spreading", rentedMachines[true], rentedMachines[false])
			}
		})
	}
}

// TestSpreadUnfixableSkew: a skew that moves cannot reduce must not cause moves: tasks fill a machine,
// cannot save a checkpoint, are pinned to a full zone, have an image that no other machine has, or belong to
// a gang.
func TestSpreadUnfixableSkew(t *testing.T) {
	for name, spec := range map[string]wire.Job{
		"tasks that fill a machine":            {Kind: wire.KindArray, Tasks: 10, CPUs: 16, EstimateS: 3600, CheckpointS: 20, SaveS: 1},
		"tasks that can't save":                {Kind: wire.KindArray, Tasks: 20, CPUs: 4, EstimateS: 3600},
		"tasks pinned to a zone":               {Kind: wire.KindArray, Tasks: 40, CPUs: 4, EstimateS: 3600, CheckpointS: 20, SaveS: 1, Zone: "a"},
		"services whose image is nowhere else": {Kind: wire.KindService, Tasks: 20, CPUs: 4},
		"a gang":                               {Kind: wire.KindGang, Tasks: 20, CPUs: 4, EstimateS: 3600, CheckpointS: 20, SaveS: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := spreadFaultOptions(1, 3)
			o.noLoad = true
			r := newSpreadRun(o)
			spec.ID, spec.Class, spec.Team, spec.Priority, spec.MemoryGB, spec.Image, spec.ImageGB, spec.Types = "req-700000", "bulk", "blue", "standard", 2, "img-1", 1, []string{"big"}
			r.w.after(spreadSkewAt, func() {
				r.w.users.submitUncancelled(&simJob{spec: spec, runTime: time.Hour, done: make([]bool, spec.Tasks), saved: map[int]time.Duration{}})
			})
			r.w.after(spreadRestartAt, r.restartControllers)
			r.w.Run(spreadRestartAt + 3*time.Minute)
			r.takeSample()
			if s := r.samples[0]; s.maximum < evenMaximum || len(r.w.Violations) > 0 {
				t.Errorf("the load is even, or rules were violated: %+v %v", s, r.w.Violations)
			}
			if n := len(r.startedMoves()); n > 0 {
				t.Errorf("%d moves started, want none", n)
			}
		})
	}
}

// TestSpreadStartsWhenImageMachinesAreHot: a job whose image only hot machines have starts at once, partly
// on other machines: a few of them fetch the image.
func TestSpreadStartsWhenImageMachinesAreHot(t *testing.T) {
	o := defaultSpreadOptions(20, 2, true)
	r := newSpreadRun(o)
	r.w.after(spreadRestartAt, r.restartControllers)
	const submitted = spreadRestartAt + 30*time.Second // no task has run long enough to be moved: the skew remains
	j := &simJob{spec: wire.Job{ID: "req-700000", Class: "bulk", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 8,
		CPUs: 2, MemoryGB: 2, Image: "img-hot-0", ImageGB: 1, Types: []string{"big"}}, runTime: time.Minute, done: make([]bool, 8)}
	started, machines, lastStart := 0, map[string]bool{}, time.Duration(0)
	r.w.after(submitted, func() {
		r.w.users.submitUncancelled(j)
		r.fetches = 0
	})
	r.w.onFetch = func() { r.fetches++ }
	r.w.onStart = func(h *host, task *task) {
		if task.job == j {
			started, machines[h.id], lastStart = started+1, true, r.w.now
		}
	}
	r.w.Run(submitted + 40*time.Second)
	if started != 8 || lastStart > submitted+8*time.Second || len(machines) > 4 || len(machines) < 2 || r.fetches == 0 {
		t.Errorf("%d tasks started on %d machines, the last at %v, with %d fetches", started, len(machines), lastStart, r.fetches)
	}
}

// TestSpreadBesideEarlierVersions: controllers with and without load spreading lead in turn, as when a
// version with it is rolled out and rolled back. Every task must keep one owner and every job one final
// state, and each leader continues with the tasks that the other kind has placed.
func TestSpreadBesideEarlierVersions(t *testing.T) {
	for seed := range uint64(runCount("PUMICEFRONT_SPREAD_SEEDS", 2)) {
		r := newSpreadRun(spreadFaultOptions(seed, 3))
		leaderRestarts := map[bool]int{}
		for i := range 8 { // restarts the leader, with load spreading off and on in turn
			r.w.after(spreadRestartAt+time.Duration(25+12*i)*time.Second, func() {
				n := r.w.leaderOrFirst()
				spreads := r.w.op.Spreading
				leaderRestarts[spreads != nil]++
				if i%2 == 0 {
					r.w.op.Spreading = nil
				} else {
					r.w.enableLoadSpreading(r.changeSettings)
				}
				n.crash(time.Second)
			})
		}
		r.runWithFaults(t, spreadFaultRunEnd)
		if leaderRestarts[true] < 3 || leaderRestarts[false] < 3 || r.w.coverage["a move ends: moved"] == 0 {
			t.Errorf("seed %d: leaders by load spreading %v, coverage %v", seed, leaderRestarts, slices.Sorted(maps.Keys(r.w.coverage)))
		}
	}
}
