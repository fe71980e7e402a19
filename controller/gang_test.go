package controller

import (
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// addGang adds a gang of prod priority with tasks of 4 cores and 8 GB.
func addGang(c *Core, l *leader, tasks int, age time.Duration) *job {
	spec := wire.Job{ID: "req-000090", Class: "a", Team: "red", Kind: wire.KindGang, Priority: "prod", Tasks: tasks, CPUs: 4, MemoryGB: 8}
	return l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: c.now.Add(-age).UnixMilli()})
}

// A gang that is larger than all machines kept other jobs with the same tasks from being tried, since it counted as proof
// that no machine has room for one; and it had running tasks stopped for it in every round.
func TestGangLargerThanAllMachines(t *testing.T) {
	c, l := newLeaderWithMachines(t, 3)
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "a", WithinS: 2}} // of which tasks are stopped after a quarter
	low := wire.Job{ID: "req-000080", Class: "low", Team: "red", Kind: wire.KindArray, Priority: "best_effort", Tasks: 6, CPUs: 4, MemoryGB: 8}
	running := l.addJob(low.ID, &headerRecord{Job: low, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
	runRound(c, l)
	for _, a := range running.attempts {
		a.advance(attemptRunning)
		a.runningSince, a.machine.snapshot = c.now, nil
	}
	addGang(c, l, 100, 10*time.Minute)
	array := wire.Job{ID: "req-000099", Class: "a", Team: "red", Kind: wire.KindArray, Priority: "prod", Tasks: 6, CPUs: 4, MemoryGB: 8}
	other := l.addJob(array.ID, &headerRecord{Job: array, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
	runRound(c, l)
	if len(other.attempts) != 6 {
		t.Errorf("%d of 6 tasks of an array are placed beside a gang that never fits", len(other.attempts))
	}
	for _, a := range running.attempts {
		if a.stopping {
			t.Errorf("task %d is stopped for a gang that never fits", a.task)
		}
	}
}
