package sim

import (
	"fmt"
	"slices"
	"time"

	"pumicefront/wire"
)

// Measurement of spillover between cells: start delays, throughput and writes to the state services when
// one cell receives more work than it has room for.

// measureCells submits twice the work that fits to one of four cells, its home, for two minutes. The mode
// is "off" (no cell lends cores), "on" (the other three lend cores), or "holder lost" (they lend cores, and
// the first of them, which holds jobs granted by the home, fails for a minute).
func measureCells(machines int, seed uint64, mode string) cellMeasurement {
	const submitting, end = 2 * time.Minute, 10 * time.Minute
	// Half of a cell's machines have 4 cores, half have 16.
	cores := float64(machines) / 2 * 20
	// No cell lends cores in any mode at first; the loop below sets LendCores.
	federation := NewFederation(seed, 4, map[string]float64{"off": 0}[mode])
	for i, w := range federation.Worlds {
		w.deterministic, w.faults.fastBoots = true, true
		w.shape.Scale, w.shape.Machines = cores/8, machines
		w.cfg = settings(w.shape)
		w.cloud.maxPerType = (machines + 1) / 2
		if i > 0 && mode != "off" {
			w.op.Cell.LendCores = cores / 2
		}
		for _, n := range w.controllers {
			n.boot()
		}
	}
	home := federation.Worlds[0]
	startDelays := map[*simJob]time.Duration{}
	submittedAt := map[*simJob]time.Duration{}
	for _, w := range federation.Worlds {
		w.onStart = func(_ *host, task *task) {
			if _, seen := startDelays[task.job]; !seen {
				startDelays[task.job] = w.now - submittedAt[task.job]
			}
		}
	}
	const taskRun, tasks = 30 * time.Second, 20 // arrays whose tasks take one core each
	// The interval at which each job takes as much core time as 2*cores cores provide: twice what fits.
	interval := time.Duration(float64(taskRun) * tasks / (2 * cores))
	for id, at := 0, 10*time.Second; at < submitting; id, at = id+1, at+interval {
		j := &simJob{spec: wire.Job{ID: fmt.Sprintf("req-%06d", id), Class: "batch", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: tasks,
			CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", id%5), ImageGB: 1, EstimateS: taskRun.Seconds()}, runTime: taskRun, done: make([]bool, tasks)}
		home.users.assignHome(j)
		home.after(at, func() {
			submittedAt[j] = home.now
			home.users.submitUncancelled(j)
		})
	}
	if mode == "holder lost" {
		federation.Worlds[1].after(90*time.Second, func() { federation.Worlds[1].failCell(time.Minute) })
	}
	done := map[time.Duration]int{}
	for _, at := range []time.Duration{2 * time.Minute, 4 * time.Minute} {
		home.after(at, func() {
			for j := range submittedAt {
				done[at] += tasks - j.tasksLeft()
			}
		})
	}
	federation.Run(end)
	m := cellMeasurement{violations: federation.Violations(), jobs: len(submittedAt), jobsElsewhere: len(federation.startsElsewhere), doneAfter2Min: done[2*time.Minute], doneAfter4Min: done[4*time.Minute]}
	for j := range submittedAt {
		m.unfinishedTasks += j.tasksLeft()
		if wait, ran := startDelays[j]; ran {
			m.startDelays = append(m.startDelays, wait)
		}
	}
	for _, w := range federation.Worlds {
		m.stateChanges += len(w.store.history)
	}
	slices.Sort(m.startDelays)
	return m
}

// cellMeasurement is the result of one run of measureCells. Jobs count as run elsewhere if at least one of
// their tasks started in another cell than the home.
type cellMeasurement struct {
	violations                   []string
	jobs, jobsElsewhere          int
	startDelays                  []time.Duration // from submission to the start of a job's first task, sorted
	doneAfter2Min, doneAfter4Min int             // tasks completed after two and after four minutes
	stateChanges                 int             // changes of keys in all state services
	unfinishedTasks              int
}

// String formats the result in one line.
func (m cellMeasurement) String() string {
	if len(m.startDelays) == 0 {
		return "no job has started"
	}
	return fmt.Sprintf("%d jobs, %d run elsewhere; start delay p50 %.0f s, p90 %.0f s, max %.0f s; tasks done after 2 min %d, 4 min %d; %.1f key changes per job in all cells; %d tasks unfinished",
		m.jobs, m.jobsElsewhere, m.startDelays[len(m.startDelays)/2].Seconds(), m.startDelays[len(m.startDelays)*9/10].Seconds(), m.startDelays[len(m.startDelays)-1].Seconds(),
		m.doneAfter2Min, m.doneAfter4Min, float64(m.stateChanges)/float64(m.jobs), m.unfinishedTasks)
}
