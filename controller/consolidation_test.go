package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// The replicas on an expensive machine that is mostly free are moved together, one machine at a time, once they have
// run long enough and have room on machines that have their image; otherwise no replica is moved.
func TestConsolidationEmptiesOneMachine(t *testing.T) {
	for _, c := range []struct {
		name            string
		ran             time.Duration
		cached          bool
		batch           bool
		cheaper         float64 // price of the other machine type
		startObjectiveS float64 // the start objective, where a machine boots in 10 s
		wantStopped     int
	}{
		{"room elsewhere", 2 * time.Minute, true, false, 0.5, 2, 1},
		{"started recently", time.Second, true, false, 0.5, 2, 0},
		{"image elsewhere missing", 2 * time.Minute, false, false, 0.5, 2, 0},
		{"batch work on it", 2 * time.Minute, true, true, 0.5, 2, 0},
		{"no type is cheaper", 2 * time.Minute, true, false, 1.5, 2, 0},
		{"no type is cheaper, but one boots in time", 2 * time.Minute, true, false, 1.5, 20, 1},
	} {
		core, l, _ := newLeadingCore(t)
		core.types["t"] = wire.MachineType{Name: "t", CPUs: 8, Price: 1, BootS: 10}
		core.types["s"] = wire.MachineType{Name: "s", CPUs: 2, Price: c.cheaper, BootS: 10}
		core.cfg.Facts.Objectives = []config.Objective{{Kind: "guarantee", WithinS: c.startObjectiveS}}
		core.cfg.Facts.Teams = []config.Team{{Name: "red", CPUs: 100, CPUsMax: 100}}
		l.jobsByAcceptance, l.jobs = nil, map[string]*job{}
		run := func(id, kind string, m *machine) *attempt {
			j := l.addJob(id, &headerRecord{TasksPerChunk: 10, Job: wire.Job{ID: id, Kind: kind, Team: "red", Priority: "prod", Tasks: 1, CPUs: 2, Image: "img"}})
			a := placeAttempt(l, j, 0, m)
			a.phase, a.runningSince, j.hasStarted = attemptRunning, core.now.Add(-c.ran), true
			return a
		}
		for i, n := range []int{3, 1} {
			id := fmt.Sprintf("i-%d", i)
			m := l.machine(id)
			l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
			m.images["img"] = c.cached
			for k := range n {
				run(fmt.Sprintf("req-%d%d", i, k), wire.KindService, m)
			}
		}
		if c.batch {
			run("req-99", wire.KindArray, l.machines["i-1"])
		}
		l.autoscaler.consolidate()
		stopping := 0
		for _, m := range l.machines {
			for _, a := range m.attemptsInOrder() {
				if a.stopping {
					stopping++
				}
			}
		}
		if got := l.machines["i-1"].consolidating; got != (c.wantStopped > 0) || stopping != c.wantStopped || l.machines["i-0"].consolidating {
			t.Errorf("%s: emptying %v, %d tasks stopped, want %d", c.name, got, stopping, c.wantStopped)
		}
	}
}
