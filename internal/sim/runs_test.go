package sim

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pumicefront/config"
)

const (
	faultPhase    = 150 * time.Second
	recoveryPhase = 150 * time.Second
)

// TestFaults plays runs from fixed seeds. PUMICEFRONT_SEED=N replays one with its
// log; PUMICEFRONT_RUNS=N plays more.
func TestFaults(t *testing.T) {
	if one := os.Getenv("PUMICEFRONT_SEED"); one != "" {
		replay(t, one, func(uint64) Shape { return Small }, RunFaults)
		return
	}
	runAll(t, "PUMICEFRONT_RUNS", 40, Small)
}

// TestGrownFaults plays runs of five controllers, hundreds of machines and large
// arrays. PUMICEFRONT_GROWN_RUNS=N plays more.
func TestGrownFaults(t *testing.T) { runAll(t, "PUMICEFRONT_GROWN_RUNS", 3, Grown) }

// TestFleetFaults plays runs of the fleets' shape. PUMICEFRONT_FLEET_RUNS=N plays more.
func TestFleetFaults(t *testing.T) { runAll(t, "PUMICEFRONT_FLEET_RUNS", 1, Fleet) }

// TestGPUFaults plays runs on which GPUs are shared, by teams with GPUs alone, cores
// alone and both. PUMICEFRONT_GPU_RUNS=N plays more.
func TestGPUFaults(t *testing.T) { runAll(t, "PUMICEFRONT_GPU_RUNS", 12, GPUs) }

// TestLargeGPUFaults plays the same with more machines than any deployment has.
// PUMICEFRONT_LARGE_GPU_RUNS=N plays more.
func TestLargeGPUFaults(t *testing.T) { runAll(t, "PUMICEFRONT_LARGE_GPU_RUNS", 1, LargeGPUs) }

// TestFaultPairs plays runs on which faults coincide. PUMICEFRONT_PAIR_RUNS=N plays more,
// PUMICEFRONT_PAIR_SEED=N replays one with its log.
func TestFaultPairs(t *testing.T) {
	if one := os.Getenv("PUMICEFRONT_PAIR_SEED"); one != "" {
		replay(t, one, pairShape, runOverload)
		return
	}
	runPairs(t, runsOf("PUMICEFRONT_PAIR_RUNS", 48), pairShape, pairCoverage)
}

// runPairs plays runs, and checks that each of the combinations has come about on some.
func runPairs(t *testing.T, runs int, shapeOf func(seed uint64) Shape, combinations []string) {
	t.Helper()
	var mu sync.Mutex
	reached := map[string]int{}
	t.Run("runs", func(t *testing.T) {
		for seed := range uint64(runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := New(seed, shapeOf(seed))
				runOverload(w, faultPhase, recoveryOf(w))
				report(t, seed, w)
				if w.store.tooLarge > 0 {
					t.Errorf("seed %d: %d transactions are refused for their size", seed, w.store.tooLarge)
				}
				mu.Lock()
				defer mu.Unlock()
				for what := range w.coverage {
					reached[what]++
				}
			})
		}
	})
	for _, what := range combinations {
		t.Logf("%4d of %d runs: %s", reached[what], runs, what)
		if reached[what] == 0 {
			t.Errorf("on none of the runs: %s", what)
		}
	}
}

// pairCoverage lists the combinations that must each come about on some of the runs; docs/fault-combinations.md lists them.
var pairCoverage = []string{
	"leases renewed in an outage after a cancellation was told",
	"by a leader that had been refused alone",
	"all controllers away for longer than a lease",
	"leaders change twice within four seconds",
	"a leader ends in an outage",
	"asked at all nodes after a final answer",
	"the same with a team at its limit and its job cancelled",
	"one-task job of a burst cancelled",
	"a transaction carried out, its answer lost",
	"a held command, or one with its answer held, is carried out",
	"a job bound to a zone loses a machine",
	"a cancellation told as leaders change",
	"a leader ends and is back within a second",
	"a cancellation told while the state service is slow",
	"a cancellation told while a machine of the job hangs",
	"a report from an earlier session arrives",
	"an old report arrives as a new leader begins",
	"a leader ends while writes lag and machines just up have work",
	"leaders change while tasks are on machines that can't be reached",
	"much more work than room over slow links",
	"cancelled at the end of its last task",
	"a late transaction refused for newer ones",
	"a late transaction carried out",
	"a cancellation told by others while the leader has its workers alone",
	"tasks of a small job end on both sides of a change of leaders",
	"a zone with a controller cut off",
	"a direct command reaches a machine that reaches nobody",
}

// runOverload is a MeetingDay with time for all that was asked for beyond what can be done.
func runOverload(w *World, faultTime, recovery time.Duration) {
	RunFaultPairs(w, faultTime, recovery+90*time.Second)
}

// pairShape gives every fourth run five controllers, and GPUs to another fourth.
func pairShape(seed uint64) Shape {
	switch five := Small; seed % 4 {
	case 2:
		return GPUs
	case 3:
		five.Controllers = 5
		return five
	}
	return Small
}

// TestChainFaults plays the same with pipelines, on which the state service lowers its
// limits. PUMICEFRONT_CHAIN_RUNS=N plays more, PUMICEFRONT_CHAIN_SEED=N replays one.
func TestChainFaults(t *testing.T) {
	if one := os.Getenv("PUMICEFRONT_CHAIN_SEED"); one != "" {
		replay(t, one, func(uint64) Shape { return Chains }, runOverload)
		return
	}
	runPairs(t, runsOf("PUMICEFRONT_CHAIN_RUNS", 24), func(uint64) Shape { return Chains }, []string{
		"a job cancelled with one that it needs",
		"a job accepted that needs a cancelled one",
		"a job accepted that needs a finished one",
		"a job accepted with a long list of needed jobs",
		"a cancellation answered with done, and jobs that need the job go on",
		"the state service lowers its limits",
	})
}

// runAll plays as many runs as the variable says.
func runAll(t *testing.T, variable string, runs int, shape Shape) {
	runs = runsOf(variable, runs)
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := New(seed, shape)
			RunFaults(w, faultPhase, recoveryOf(w))
			report(t, seed, w)
		})
	}
}

// runsOf is how many runs to play: as the variable says, else as many as CI does.
func runsOf(variable string, runs int) int {
	if s := os.Getenv(variable); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	return runs
}

// replay plays one seed with its log.
func replay(t *testing.T, one string, shapeOf func(seed uint64) Shape, run func(w *World, faultTime, recovery time.Duration)) {
	t.Helper()
	seed, err := strconv.ParseUint(one, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	w := New(seed, shapeOf(seed))
	w.Log = func(f string, args ...any) { fmt.Printf(f+"\n", args...) }
	run(w, faultPhase, recoveryOf(w))
	report(t, seed, w)
}

// recoveryOf is how long a run goes on after its faults. Where leases are long, what is
// lost at the last is waited for that long.
func recoveryOf(w *World) time.Duration {
	if w.shape.GPUs {
		return recoveryPhase + 2*config.Seconds(w.cfg.Facts.Workers.LeaseS)
	}
	return recoveryPhase
}

func report(t *testing.T, seed uint64, w *World) {
	t.Helper()
	for _, r := range w.Rules {
		t.Errorf("seed %d: %s", seed, r)
	}
}

// TestSameSeedSameDay guards the replay of a failing seed.
func TestSameSeedSameDay(t *testing.T) {
	play := func() string {
		var log strings.Builder
		w := New(3, Small)
		w.Log = func(f string, args ...any) { fmt.Fprintf(&log, f+"\n", args...) }
		RunFaults(w, 80*time.Second, 10*time.Second)
		return log.String()
	}
	if a, b := play(), play(); a != b {
		t.Fatal("two plays of one seed differ")
	}
}
