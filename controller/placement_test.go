package controller

import (
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// A late service waits for a machine that boots with as many tasks as fit there, and
// stops lower work for the others: one round must not count a task twice.
func TestLateServiceDividesItsTasks(t *testing.T) {
	c, l, batch := leading(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 1}}
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, FetchGBps: 0.1, BootS: 20, Zones: []string{"a"}}})
	up, boots := l.machine("i-1"), l.machine("i-2")
	l.failures.applyHeartbeat(up, &wire.Report{Machine: up.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	boots.typ, boots.zone = "t", "a"
	for task := range 2 {
		a := place(l, batch, task, up)
		a.phase = attemptSeen
	}
	up.images["img"] = true
	spec := wire.Job{ID: "req-000002", Class: "web", Team: "red", Kind: wire.KindService, Priority: "prod",
		Tasks: 3, CPUs: 1, Image: "img", ImageGB: 1}
	h := &headerRecord{Job: spec, PerChunk: 10, AcceptedMS: c.now.Add(-10 * time.Second).UnixMilli()}
	l.addJob(spec.ID, h)
	l.wantPlacement()
	c.now = l.placeAt
	l.place()
	stopping := 0
	for _, a := range up.list {
		if a.stopping {
			stopping++
		}
	}
	if stopping != 1 {
		t.Fatalf("%d tasks stop for the one that has no room on the booting machine", stopping)
	}
}

// Lower work takes no room that a rejected service will want: it would be stopped
// for it as soon as that is accepted.
func TestLowerWorkLeavesRoomForRejectedServices(t *testing.T) {
	c, l, _ := leading(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	array := wire.Job{ID: "req-000002", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 4, CPUs: 1}
	service := wire.Job{ID: "req-000003", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 3, CPUs: 1}
	l.jobs, l.order = map[string]*job{}, nil
	j := l.addJob(array.ID, &headerRecord{Job: array, PerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	c.rejectSubmission(UserRequest{Req: 1}, &service)
	c.sendDemandHints()
	l.wantPlacement()
	c.now = l.placeAt
	l.place()
	if n := len(j.attempts); n != 1 {
		t.Errorf("%d tasks placed on 4 cores, of which a rejected service wants 3", n)
	}
}

// Where an aim on starting leaves time, a service waits a little for running tasks to
// end before any is stopped for it; one that its users miss does not.
func TestServiceWaitsBeforeItStopsOthers(t *testing.T) {
	c, l, _ := leading(t)
	c.cfg.Facts.Objectives = []config.Objective{{Kind: "wait", Class: "web", WithinS: 60}}
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, FetchGBps: 0.5, Zones: []string{"a"}}})
	spec := wire.Job{ID: "req-000002", Class: "web", Kind: wire.KindService, Priority: "prod", Tasks: 1, CPUs: 1, ImageGB: 10}
	l.addJob(spec.ID, &headerRecord{Job: spec, PerChunk: 10})
	d := l.c.demandOf(&spec)
	if w := l.canWait(d); w != 10 {
		t.Errorf("waits %v s with an aim of 60 s and a fetch of 20 s", w)
	}
	if d.Begun = true; l.canWait(d) > 0 {
		t.Error("a replica that ran before waits")
	}
}
