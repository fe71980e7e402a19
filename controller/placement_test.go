package controller

import (
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// A service that is late for its start objective assigns as many tasks to a booting machine as fit there, and preempts
// lower-priority work for the others. The round must not count a task twice.
func TestLateServiceSplitsTasksBetweenBootingAndPreemption(t *testing.T) {
	c, l, batch := newLeadingCore(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 1}}
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, FetchGBps: 0.1, BootS: 20, Zones: []string{"a"}}})
	up, booting := l.machine("i-1"), l.machine("i-2")
	l.failureDetector.applyHeartbeat(up, &wire.Report{Machine: up.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	booting.typ, booting.zone = "t", "a"
	for task := range 2 {
		a := placeAttempt(l, batch, task, up)
		a.phase = attemptReported
	}
	up.images["img"] = true
	spec := wire.Job{ID: "req-000002", Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod",
		Tasks: 3, CPUs: 1, Image: "img", ImageGB: 1}
	h := &headerRecord{Job: spec, TasksPerChunk: 10, AcceptedMS: c.now.Add(-10 * time.Second).UnixMilli()}
	l.addJob(spec.ID, h)
	l.schedulePlacement()
	c.now = l.placementDueAt
	l.runPlacementRound()
	stopping := 0
	for _, a := range up.attemptsInOrder() {
		if a.stopping {
			stopping++
		}
	}
	if stopping != 1 {
		t.Fatalf("%d tasks are stopped for the one without room on the booting machine, want 1", stopping)
	}
}

// Lower-priority work must not be placed in room that a rejected service will need: it would be preempted as soon as
// the service is accepted.
func TestLowerPriorityWorkLeavesRoomForRejectedServices(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	array := wire.Job{ID: "req-000002", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 4, CPUs: 1}
	service := wire.Job{ID: "req-000003", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 3, CPUs: 1}
	l.jobs, l.jobsByAcceptance = map[string]*job{}, nil
	j := l.addJob(array.ID, &headerRecord{Job: array, TasksPerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	c.rejectSubmission(UserRequest{Req: 1}, &service)
	c.sendDemandHints()
	l.schedulePlacement()
	c.now = l.placementDueAt
	l.runPlacementRound()
	if n := len(j.attempts); n != 1 {
		t.Errorf("%d tasks placed on 4 cores, of which a rejected service needs 3", n)
	}
}

// A service with time left in its start objective waits for running tasks to end before it preempts any. A replica that
// ran before is missing to its users and preempts at once.
func TestServiceDelaysPreemption(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 60}}
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, FetchGBps: 0.5, Zones: []string{"a"}}})
	spec := wire.Job{ID: "req-000002", Class: "web", Kind: wire.KindService, Priority: "prod", Tasks: 1, CPUs: 1, ImageGB: 10}
	l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 10})
	d := l.c.demandOf(&spec)
	if w := l.preemptionDelayS(d); w != 10 {
		t.Errorf("waits %v s with an objective of 60 s and a fetch of 20 s, want 10 s", w)
	}
	if d.Started = true; l.preemptionDelayS(d) > 0 {
		t.Error("a replica that ran before waits before it preempts")
	}
}
