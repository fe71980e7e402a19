package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/scheduler"
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

// A gang that has waited long and exceeds what is left of its team's limit keeps that for itself, instead of machines that
// would stand empty; but only if it will fit into the limit beside its team's services.
func TestGangWaitsForItsTeamsLimit(t *testing.T) {
	for services, wantHeld := range map[int]bool{0: true, 30: false} { // replicas of 2 cores
		c, l := newLeaderWithMachines(t, 40)
		if services > 0 {
			spec := wire.Job{ID: "req-000070", Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: services, CPUs: 2, MemoryGB: 1}
			l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
			runRound(c, l)
		}
		for i := range 4 {
			spec := wire.Job{ID: fmt.Sprintf("req-00008%d", i), Class: "b", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 5, CPUs: 4, MemoryGB: 8}
			l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
		}
		runRound(c, l)
		gang := addGang(c, l, 150, 10*time.Minute) // 600 of 608 cores
		machines := l.schedulerView(false)
		d := l.c.demandOf(&gang.spec)
		l.listReadyTasks(d, gang, nil)
		used := l.teamUse()
		d.RoomInTeam, d.Aged = l.roomInTeam(d, used), true
		before := used["red"]
		l.reserveFor(machines, d, used)
		if held := used["red"] != before; held != wantHeld {
			t.Errorf("%d replicas: the limit is kept for the gang: %v, want %v", services, held, wantHeld)
		}
		for _, m := range machines {
			if m.Free == (scheduler.Resources{}) {
				t.Errorf("%d replicas: %s is reserved for a gang that its team's limit does not allow yet", services, m.ID)
			}
		}
	}
}

// Guards against rounds that assign as many tasks of a gang as there is room for and take them back: for a gang of tasks that
// take next to nothing these are all slots of all machines.
func TestGangOfTinyTasksThatDoesNotFitIsNotTriedTaskByTask(t *testing.T) {
	c, l := newLeaderWithMachines(t, 30)
	spec := wire.Job{ID: "req-000090", Class: "a", Team: "red", Kind: wire.KindGang, Priority: "prod", Tasks: wire.MaxTasks, CPUs: 0.5e-18}
	l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: c.now.Add(-time.Hour).UnixMilli()})
	const rounds = 200
	begun := time.Now()
	for range rounds {
		runRound(c, l)
	}
	if took := time.Since(begun); took > 10*time.Second {
		t.Errorf("%d rounds took %v, want a second", rounds, took)
	}
	if n := len(l.jobs[spec.ID].attempts); n > 0 {
		t.Errorf("%d tasks of a gang that does not fit are placed", n)
	}
}
