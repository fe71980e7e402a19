package sim

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pumicefront/wire"
)

// TestMeasureCells prints the figures of docs/cells.md; it is run by hand:
// PUMICEFRONT_CELL_MEASURE=40,200 go test -v -timeout 30m ./internal/sim -run TestMeasureCells
func TestMeasureCells(t *testing.T) {
	sizes := os.Getenv("PUMICEFRONT_CELL_MEASURE")
	if sizes == "" {
		t.Skip("run by hand, see the comment")
	}
	for _, size := range strings.Split(sizes, ",") {
		machines, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(runsOf("PUMICEFRONT_CELL_RUNS", 3)) {
			for _, mode := range []string{"off", "on", "holder lost"} {
				t.Run(fmt.Sprintf("%d/%d/%s", machines, seed, mode), func(t *testing.T) { measureCells(t, machines, seed, mode) })
			}
		}
	}
}

// measureCells gives one of four cells twice the work that it has room for, for two minutes.
func measureCells(t *testing.T, machines int, seed uint64, mode string) {
	const submitting, end = 2 * time.Minute, 10 * time.Minute
	cores := float64(machines) / 2 * 20
	c := NewCluster(seed, 4, map[string]float64{"off": 0}[mode])
	for i, w := range c.Worlds {
		w.deterministic, w.faults.fastBoots = true, true
		w.shape.Scale, w.shape.Machines = cores/8, machines
		w.cfg = settings(w.shape)
		w.cloud.most = (machines + 1) / 2
		if i > 0 && mode != "off" {
			w.op.Cell.LendCores = cores / 2
		}
		for _, n := range w.nodes {
			n.boot()
		}
	}
	home := c.Worlds[0]
	begun := map[*simJob]time.Duration{}
	submitted := map[*simJob]time.Duration{}
	for _, w := range c.Worlds {
		w.onStart = func(_ *host, task *task) {
			if _, seen := begun[task.job]; !seen {
				begun[task.job] = w.now - submitted[task.job]
			}
		}
	}
	const run, tasks = 30 * time.Second, 20 // jobs of a core a task
	every := time.Duration(float64(run) * tasks / (2 * cores))
	for id, at := 0, 10*time.Second; at < submitting; id, at = id+1, at+every {
		j := &simJob{spec: wire.Job{ID: fmt.Sprintf("req-%06d", id), Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: tasks,
			CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", id%5), ImageGB: 1, EstimateS: run.Seconds()}, run: run, done: make([]bool, tasks)}
		home.users.belongHere(j)
		home.after(at, func() {
			submitted[j] = home.now
			home.users.enterQuietly(j)
		})
	}
	if mode == "holder lost" {
		c.Worlds[1].after(90*time.Second, func() { c.Worlds[1].loseCell(time.Minute) })
	}
	done := map[time.Duration]int{}
	for _, at := range []time.Duration{2 * time.Minute, 4 * time.Minute} {
		home.after(at, func() {
			for j := range submitted {
				done[at] += tasks - j.left()
			}
		})
	}
	c.Run(end)
	var waits []time.Duration
	left, writes := 0, 0
	for j := range submitted {
		left += j.left()
		if wait, ran := begun[j]; ran {
			waits = append(waits, wait)
		}
	}
	for _, w := range c.Worlds {
		writes += len(w.store.history)
	}
	slices.Sort(waits)
	for _, r := range c.Rules() {
		t.Error(r)
	}
	t.Logf("%d jobs, %d elsewhere; begun after p50 %.0f s, p90 %.0f s, most %.0f s; tasks done after 2 min %d, 4 min %d; %.1f changes a job in all cells; %d tasks left",
		len(submitted), len(c.ran), waits[len(waits)/2].Seconds(), waits[len(waits)*9/10].Seconds(), waits[len(waits)-1].Seconds(),
		done[2*time.Minute], done[4*time.Minute], float64(writes)/float64(len(submitted)), left)
}
