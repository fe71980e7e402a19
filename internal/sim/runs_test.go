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

// TestFaults simulates runs from fixed seeds. PUMICEFRONT_SEED=N replays one seed and
// prints its log; PUMICEFRONT_RUNS=N sets the number of runs.
func TestFaults(t *testing.T) {
	if seedText := os.Getenv("PUMICEFRONT_SEED"); seedText != "" {
		replay(t, seedText, func(uint64) Shape { return Small }, RunFaults)
		return
	}
	runAll(t, "PUMICEFRONT_RUNS", 40, Small)
}

// TestGrownFaults simulates runs with five controllers, hundreds of machines and large
// arrays. PUMICEFRONT_GROWN_RUNS=N sets the number of runs.
func TestGrownFaults(t *testing.T) { runAll(t, "PUMICEFRONT_GROWN_RUNS", 3, Grown) }

// TestFleetFaults simulates runs of the Fleet shape. PUMICEFRONT_FLEET_RUNS=N sets the
// number of runs.
func TestFleetFaults(t *testing.T) { runAll(t, "PUMICEFRONT_FLEET_RUNS", 1, Fleet) }

// TestGPUFaults simulates runs in which teams share GPUs: one team has a quota of GPUs
// only, one of cores only, and one of both. PUMICEFRONT_GPU_RUNS=N sets the number of runs.
func TestGPUFaults(t *testing.T) { runAll(t, "PUMICEFRONT_GPU_RUNS", 12, GPUs) }

// TestLargeGPUFaults does the same as TestGPUFaults with more machines than any
// deployment has. PUMICEFRONT_LARGE_GPU_RUNS=N sets the number of runs.
func TestLargeGPUFaults(t *testing.T) { runAll(t, "PUMICEFRONT_LARGE_GPU_RUNS", 1, LargeGPUs) }

// TestFaultPairs simulates runs in which faults overlap. PUMICEFRONT_PAIR_RUNS=N sets the
// number of runs, PUMICEFRONT_PAIR_SEED=N replays one seed and prints its log.
func TestFaultPairs(t *testing.T) {
	if seedText := os.Getenv("PUMICEFRONT_PAIR_SEED"); seedText != "" {
		replay(t, seedText, pairShape, runFaultPairsLongRecovery)
		return
	}
	runPairs(t, runCount("PUMICEFRONT_PAIR_RUNS", 48), pairShape, pairCoverage)
}

// runPairs simulates runs, and checks that each of the combinations has occurred in at
// least one of them.
func runPairs(t *testing.T, runs int, shapeOf func(seed uint64) Shape, combinations []string) {
	t.Helper()
	var mu sync.Mutex
	reached := map[string]int{}
	t.Run("runs", func(t *testing.T) {
		for seed := range uint64(runs) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				w := New(seed, shapeOf(seed))
				runFaultPairsLongRecovery(w, faultPhase, recoveryTime(w))
				reportViolations(t, seed, w)
				if w.store.tooLarge > 0 {
					t.Errorf("seed %d: state service refused %d transactions that exceed its size limits", seed, w.store.tooLarge)
				}
				mu.Lock()
				defer mu.Unlock()
				for combination := range w.coverage {
					reached[combination]++
				}
			})
		}
	})
	for _, combination := range combinations {
		t.Logf("%4d of %d runs: %s", reached[combination], runs, combination)
		if reached[combination] == 0 {
			t.Errorf("combination did not occur in any run: %s", combination)
		}
	}
}

// pairCoverage lists the combinations of faults that must each occur in at least one run.
// docs/fault-combinations.md lists them as well.
var pairCoverage = []string{
	"leases renewed in an outage after a cancellation was reported",
	"leases renewed in an outage by a leader that only the state service had refused before",
	"all controllers down for a lease",
	"leaders change twice within four seconds",
	"a leader crashes in an outage",
	"asked at all controllers after a final answer",
	"leaders change while tasks of a cancelled job are on machines that can't be reached, its team near its limit",
	"one-task job of a burst cancelled",
	"a transaction carried out, its answer lost",
	"a delayed or repeated command, or one whose answer is lost, is carried out",
	"a job pinned to a zone loses a machine",
	"a cancellation reported as leaders change",
	"a leader crashes and restarts within a second",
	"a cancellation reported while the state service is slow",
	"a cancellation reported while a machine of the job hangs",
	"a report from an earlier session arrives",
	"an old report arrives as a new leader begins",
	"a leader crashes while the state service is slow and newly booted machines have work",
	"leaders change while tasks are on machines that can't be reached",
	"much more work than room over slow links",
	"cancelled at the end of its last task",
	"a late transaction refused",
	"a late transaction carried out",
	"a cancellation reported by other controllers while the leader reaches only workers and users",
	"tasks of a small job end on both sides of a change of leaders",
	"a zone with a controller in it partitioned for longer than a lease",
	"a direct command reaches a machine that can't reach controllers",
}

// runFaultPairsLongRecovery is RunFaultPairs with a recovery period that is 90 s longer:
// some of its faults submit more work than the machines can run at once, which has to finish.
func runFaultPairsLongRecovery(w *World, faultTime, recovery time.Duration) {
	RunFaultPairs(w, faultTime, recovery+90*time.Second)
}

// pairShape returns the GPUs shape for a quarter of the seeds, Small with five controllers
// for another quarter, and Small for the rest.
func pairShape(seed uint64) Shape {
	switch fiveControllers := Small; seed % 4 {
	case 2:
		return GPUs
	case 3:
		fiveControllers.Controllers = 5
		return fiveControllers
	}
	return Small
}

// TestChainFaults simulates runs with overlapping faults like TestFaultPairs, with chains of dependent
// jobs, and with a state service that lowers its limits during the run. PUMICEFRONT_CHAIN_RUNS=N sets
// the number of runs, PUMICEFRONT_CHAIN_SEED=N replays one seed.
func TestChainFaults(t *testing.T) {
	if seedText := os.Getenv("PUMICEFRONT_CHAIN_SEED"); seedText != "" {
		replay(t, seedText, func(uint64) Shape { return Chains }, runFaultPairsLongRecovery)
		return
	}
	runPairs(t, runCount("PUMICEFRONT_CHAIN_RUNS", 24), func(uint64) Shape { return Chains }, []string{
		"a job cancelled with one that it needs",
		"a job accepted that needs a cancelled one",
		"a job accepted that needs a finished one",
		"a job accepted with a long list of needed jobs",
		"a cancellation answered with done, and jobs that need the job go on",
		"the state service lowers its limits",
	})
}

// runAll simulates runs of one shape. The environment variable overrides their number.
func runAll(t *testing.T, variable string, runs int, shape Shape) {
	runs = runCount(variable, runs)
	for seed := range uint64(runs) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := New(seed, shape)
			RunFaults(w, faultPhase, recoveryTime(w))
			reportViolations(t, seed, w)
		})
	}
}

// runCount returns the number of runs: the value of the environment variable if it is set,
// otherwise runs, the number for CI.
func runCount(variable string, runs int) int {
	if s := os.Getenv(variable); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	return runs
}

// replay simulates one seed and prints its log.
func replay(t *testing.T, seedText string, shapeOf func(seed uint64) Shape, run func(w *World, faultTime, recovery time.Duration)) {
	t.Helper()
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	w := New(seed, shapeOf(seed))
	w.Log = func(f string, args ...any) { fmt.Printf(f+"\n", args...) }
	run(w, faultPhase, recoveryTime(w))
	reportViolations(t, seed, w)
}

// recoveryTime returns the recovery period of a run. The GPU shapes have long leases, and
// the leader waits for a lease to end before it replaces the tasks of a lost machine, so
// these runs get two leases more.
func recoveryTime(w *World) time.Duration {
	if w.shape.GPUs {
		return recoveryPhase + 2*config.Seconds(w.cfg.Facts.Workers.LeaseS)
	}
	return recoveryPhase
}

func reportViolations(t *testing.T, seed uint64, w *World) {
	t.Helper()
	for _, r := range w.Violations {
		t.Errorf("seed %d: %s", seed, r)
	}
}

// TestSameSeedSameLog checks that a seed always produces the same log, without which a
// failing seed could not be replayed.
func TestSameSeedSameLog(t *testing.T) {
	simulate := func() string {
		var log strings.Builder
		w := New(3, Small)
		w.Log = func(f string, args ...any) { fmt.Fprintf(&log, f+"\n", args...) }
		RunFaults(w, 80*time.Second, 10*time.Second)
		return log.String()
	}
	if a, b := simulate(), simulate(); a != b {
		t.Fatal("two runs of the same seed have different logs")
	}
}
