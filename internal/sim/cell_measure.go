package sim

import (
	"fmt"
	"slices"
	"time"

	"pumicefront/wire"
)

// What spilling over gains where one cell gets more than it can hold.

// measureCells gives one of four cells twice the work that it has room for, for two minutes.
func measureCells(machines int, seed uint64, mode string) cellMeasure {
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
	m := cellMeasure{rules: c.Rules(), jobs: len(submitted), elsewhere: len(c.ran), done2: done[2*time.Minute], done4: done[4*time.Minute]}
	for j := range submitted {
		m.left += j.left()
		if wait, ran := begun[j]; ran {
			m.waits = append(m.waits, wait)
		}
	}
	for _, w := range c.Worlds {
		m.changes += len(w.store.history)
	}
	slices.Sort(m.waits)
	return m
}

// cellMeasure is what is measured of one run.
type cellMeasure struct {
	rules           []string
	jobs, elsewhere int
	waits           []time.Duration // until a job's first task ran, sorted
	done2, done4    int             // tasks done after two and after four minutes
	changes         int             // in all state services
	left            int             // tasks
}

// String is the line of a measurement.
func (m cellMeasure) String() string {
	if len(m.waits) == 0 {
		return "nothing has run"
	}
	return fmt.Sprintf("%d jobs, %d elsewhere; begun after p50 %.0f s, p90 %.0f s, most %.0f s; tasks done after 2 min %d, 4 min %d; %.1f changes a job in all cells; %d tasks left",
		m.jobs, m.elsewhere, m.waits[len(m.waits)/2].Seconds(), m.waits[len(m.waits)*9/10].Seconds(), m.waits[len(m.waits)-1].Seconds(),
		m.done2, m.done4, float64(m.changes)/float64(m.jobs), m.left)
}
