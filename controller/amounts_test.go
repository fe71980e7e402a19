package controller

import (
	"math"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// Tests of amounts from outside that are valid or at least possible, and far from the usual ones.

// A deadline beyond the range of a duration counted as the earliest of all, and took the place of the deadlines of the jobs
// that the job needs.
func TestDeadlineBeyondTheRangeOfADuration(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	soon, never := 100.0, 1e11
	for i, spec := range []wire.Job{
		{ID: "req-000010", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1, DeadlineS: &soon},
		{ID: "req-000011", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1, DeadlineS: &never, Needs: []string{"req-000010"}},
	} {
		c.watchCache.versions[headerKey(spec.ID)] = uint64(i + 1)
		c.headerChanged(spec.ID, &headerRecord{Job: spec, AcceptedMS: c.now.UnixMilli(), TasksPerChunk: 10})
	}
	if due := l.jobs["req-000010"].deadline; due.fromJob == nil || due.fromJob.ID != "req-000010" {
		t.Errorf("the deadline of a job that is due in 100 s is %v, inherited from one that is due in 3,000 years", due.at())
	}
}

// A machine of a type with a boot time beyond the range of a duration counted as overdue from the start, so that one more
// was requested in every round.
func TestBootTimeBeyondTheRangeOfADuration(t *testing.T) {
	_, l, _ := newLeadingCore(t)
	m := l.machine("i-1")
	for _, bootS := range []float64{1e10, 1e12} {
		if l.overdue(m, wire.MachineType{Name: "t", BootS: bootS}) {
			t.Errorf("a machine that has just been requested is overdue although its type boots in %v s", bootS)
		}
	}
}

// The age of a listed machine is not trusted beyond what a duration can hold, and a negative age would put its request into
// the future.
func TestListedMachineOfExtremeAge(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	for id, ageS := range map[string]float64{"i-1": 1e300, "i-2": math.Inf(1), "i-3": -1e300, "i-4": math.NaN(), "i-5": -5, "i-6": 5} {
		l.autoscaler.handleListed(wire.Machine{ID: id, Type: "t", Zone: "a", State: wire.MachineBooting, AgeS: ageS})
		known := l.machines[id].knownSince
		if known.After(c.now) || c.now.Sub(known) > 101*365*24*time.Hour {
			t.Errorf("a machine listed with an age of %v s is known since %v", ageS, known)
		}
	}
}

// Adding an attempt to a machine copied all that were there: 100,000 tasks that take next to nothing held up a placement
// round, and would hold up the recovery of a later leader, for a minute.
func TestManyAttemptsOnOneMachine(t *testing.T) {
	_, l, _ := newLeadingCore(t)
	spec := wire.Job{ID: "req-000099", Kind: wire.KindArray, Priority: "standard", Tasks: wire.MaxTasks, CPUs: 0.5e-18}
	j, m := l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: wire.MaxTasks}), l.machine("i-1")
	begun := time.Now()
	for task := range spec.Tasks {
		placeAttempt(l, j, task, m)
	}
	for i, a := range m.attemptsInOrder() {
		if a.task != i {
			t.Fatalf("task %d is at position %d", a.task, i)
		}
	}
	for _, a := range m.attemptsInOrder() {
		m.remove(a)
	}
	if took := time.Since(begun); took > 10*time.Second || len(m.attemptsInOrder()) > 0 {
		t.Errorf("adding and removing %d attempts took %v, want a few hundred milliseconds; %d are left", spec.Tasks, took, len(m.attemptsInOrder()))
	}
}

// An array of 100,000 tasks made hundreds of rental requests in one round, each with a write beside the write budget: for
// its own tasks where its team has no limit, and otherwise for headroom that no team could have used.
func TestRentalsForTheLargestArray(t *testing.T) {
	for coresMax, wantMachines := range map[float64]int{0: maxMachinesPerRound, 608: 38} {
		c, l := newLeaderWithMachines(t, 0)
		c.cfg.Facts.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 5}}
		c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: coresMax})
		spec := wire.Job{ID: "req-000099", Class: "b", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: wire.MaxTasks, CPUs: 4, MemoryGB: 8}
		l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
		c.out = nil
		l.autoscaler.scaleOut()
		machines := 0
		for _, req := range l.autoscaler.requests {
			machines += req.spec.Count
		}
		if machines < wantMachines || machines > 2*wantMachines || machines > maxMachinesPerRound {
			t.Errorf("team limit of %v cores: %d machines requested, want %d to twice as many, with headroom, and at most %d", coresMax, machines, wantMachines, maxMachinesPerRound)
		}
	}
}

// A machine type whose boot time or size is no number ended every leader: the headroom computed from it was the least
// integer. Such a type is left out, or keeps its earlier description, and the others are used.
func TestMachineTypesWithInvalidAmounts(t *testing.T) {
	good := wire.MachineType{Name: "good", CPUs: 16, MemoryGB: 64, BootS: 15, Zones: []string{"a"}}
	for _, broken := range []wire.MachineType{
		{Name: "broken", CPUs: 16, MemoryGB: 64, BootS: math.NaN(), Zones: []string{"a"}},
		{Name: "broken", CPUs: 16, MemoryGB: 64, BootS: math.Inf(1), Zones: []string{"a"}},
		{Name: "broken", CPUs: math.Inf(1), MemoryGB: 64, BootS: 15, Zones: []string{"a"}},
		{Name: "broken", CPUs: 16, GPUs: math.SmallestNonzeroFloat64, MemoryGB: 64, BootS: 15, Zones: []string{"a"}},
		{Name: "broken", CPUs: 16, MemoryGB: math.NaN(), BootS: 15, Zones: []string{"a"}},
	} {
		c, l := newLeaderWithMachines(t, 2)
		c.cfg.Facts.Objectives = []config.Objective{{Kind: "guarantee", WithinS: 5}}
		spec := wire.Job{ID: "req-000099", Class: "b", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 20, CPUs: 4, MemoryGB: 8}
		l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
		c.setTypes([]wire.MachineType{good, broken})
		l.autoscaler.scaleOut()
		if _, known := c.types["broken"]; known || c.types["good"].CPUs != 16 {
			t.Errorf("types %v", c.types)
		}
		broken.Name = "good"
		c.setTypes([]wire.MachineType{broken})
		if l.autoscaler.scaleOut(); c.types["good"].BootS != 15 || c.types["good"].CPUs != 16 {
			t.Errorf("an invalid description replaces a valid one: %v", c.types)
		}
	}
}
