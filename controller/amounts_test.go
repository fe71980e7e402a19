package controller

import (
	"math"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/reduction"
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

// Numbers in records that make no sense ended every leader that read them: they were used as lengths and indexes. They are
// left out; a job whose header has one is not run, and its users are still answered.
func TestRecordsWithInvalidNumbers(t *testing.T) {
	c, l, j := newLeadingCore(t)
	l.restore(j, 0, &taskRecord{
		Done:   [][2]int{{-1, 0}, {math.MinInt, -1}, {5, math.MaxInt}},
		Placed: []placedRecord{{Task: -1, Attempt: 1, Machine: "i-1"}, {Task: math.MaxInt, Attempt: 1, Machine: "i-1"}, {Task: 1, Attempt: 1, Machine: "i-1"}},
	}, 1)
	if j.state.Count(reduction.Completed) != 1 || len(j.attempts) != 1 {
		t.Errorf("%d tasks are completed and %d attempts active, want 1 of each", j.state.Count(reduction.Completed), len(j.attempts))
	}
	for _, key := range []string{"t/req-000001/-00001", "t/req-000001/s-0001"} {
		if _, _, _, ok := parseChunkKey(key); ok {
			t.Errorf("%s is accepted", key)
		}
	}
	valid := wire.Job{ID: "req-000007", Kind: wire.KindArray, Priority: "standard", Tasks: 5, CPUs: 1}
	for name, change := range map[string]func(h *headerRecord){
		"no tasks":             func(h *headerRecord) { h.Job.Tasks = 0 },
		"negative tasks":       func(h *headerRecord) { h.Job.Tasks = -1 },
		"too many tasks":       func(h *headerRecord) { h.Job.Tasks = 1 << 50 },
		"cores are no number":  func(h *headerRecord) { h.Job.CPUs = math.NaN() },
		"tasks of one record":  func(h *headerRecord) { h.TasksPerChunk = math.MaxInt },
		"negative tasks there": func(h *headerRecord) { h.TasksPerChunk = -1 },
	} {
		h := headerRecord{Job: valid, TasksPerChunk: 10}
		change(&h)
		c.headerChanged(valid.ID, &h)
		if l.jobs[valid.ID] != nil {
			t.Errorf("%s: the job is to be run", name)
		}
		if state := c.jobState(valid.ID); c.watchCache.headers[valid.ID] == nil || state.State != wire.StateQueued {
			t.Errorf("%s: the job is %s and its header %v", name, state.State, c.watchCache.headers[valid.ID])
		}
		l.jobs, l.jobsByAcceptance = map[string]*job{}, nil
		if l.rebuild(nil, nil); len(l.jobs) > 0 {
			t.Errorf("%s: a new leader runs the job", name)
		}
	}
	c.headerChanged(valid.ID, &headerRecord{Job: valid, TasksPerChunk: 10})
	if l.jobs[valid.ID] == nil {
		t.Error("the job is not run with a valid header")
	}
}

// A rejected submission that another controller reports and an offer of another cell ended the leader if their number of
// tasks was negative; room in another cell that is no number took any job.
func TestPeersWithInvalidNumbers(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	for _, tasks := range []int{-1, 0, 1 << 50} {
		job := wire.Job{ID: "req-000007", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: tasks, CPUs: 1}
		c.handleMeshMessage(&mesh.Envelope{From: "n1", Body: &mesh.Envelope_DemandHints{DemandHints: &mesh.DemandHints{Jobs: [][]byte{wire.Marshal(job)}}}})
	}
	if n := len(l.autoscaler.hintedDemands()); n != 0 {
		t.Errorf("%d demands of submissions with impossible numbers of tasks", n)
	}
	_, leader, _ := newSpilloverLeader(t)
	f := leader.spillover
	for _, spec := range []wire.Job{{Tasks: -1, CPUs: 1}, {Tasks: 2, CPUs: math.NaN()}, {Tasks: 2, CPUs: -1}} {
		spec.ID, spec.Team, spec.Kind, spec.Priority = "req-000007", "red", wire.KindArray, "standard"
		if f.canAccept(&spec) {
			t.Errorf("an offer of %d tasks of %v cores is accepted", spec.Tasks, spec.CPUs)
		}
	}
	for _, link := range f.links {
		f.handleReply(link, CellReply{OK: true, AvailableCores: math.NaN()})
		if link.availableCores != 0 {
			t.Errorf("another cell lends %v cores", link.availableCores)
		}
	}
}

// A task that declares that it needs thousands of years to save a checkpoint got as long when it was stopped, and the
// urgent work that it was stopped for never got its room.
func TestSaveTimeIsBounded(t *testing.T) {
	for _, c := range []struct{ checkpointS, saveS, want float64 }{
		{20, 4, 7}, {20, 79, 119.5}, {20, 80, 0}, {20, 1e11, 0}, {0, 4, 0}, {math.SmallestNonzeroFloat64, 0, 1},
	} {
		if got := saveGraceS(&wire.Job{CheckpointS: c.checkpointS, SaveS: c.saveS}); got != c.want {
			t.Errorf("a task that needs %v s to save gets %v s, want %v s", c.saveS, got, c.want)
		}
	}
}

// An array that takes the memory of all machines and hardly any cores was within its team's guarantee with any number of
// tasks, so that no other team's guaranteed work could ever take its place.
func TestGuaranteeIsNotUsedUpByMemoryAlone(t *testing.T) {
	c, l := newLeaderWithMachines(t, 4)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 30, CPUsMax: 608})
	c.quotas["blue"] = quotaOf(config.Team{CPUs: 30, CPUsMax: 608})
	array := wire.Job{ID: "req-000098", Class: "a", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 100, CPUs: 0.5e-18, MemoryGB: 60}
	j := l.addJob(array.ID, &headerRecord{Job: array, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
	runRound(c, l)
	if len(j.attempts) != 4 || !j.terms.Borrowed {
		t.Fatalf("%d of its tasks run, beyond its team's guarantee: %v; want 4, true", len(j.attempts), j.terms.Borrowed)
	}
	for _, a := range j.attempts {
		a.advance(attemptRunning)
		a.runningSince, a.machine.snapshot = c.now, nil
	}
	other := wire.Job{ID: "req-000099", Class: "b", Team: "blue", Kind: wire.KindArray, Priority: "standard", Tasks: 3, CPUs: 8, MemoryGB: 8}
	l.addJob(other.ID, &headerRecord{Job: other, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
	runRound(c, l)
	stopping := 0
	for _, a := range j.attempts {
		if a.stopping {
			stopping++
		}
	}
	if stopping != 2 {
		t.Errorf("%d tasks of 15 cores' worth of memory are stopped for three of 8 cores within a guarantee, want 2: red uses 60 and is guaranteed 30", stopping)
	}
}

// Every round listed all waiting tasks of every job: one array of 100,000 tasks took milliseconds and five megabytes in each
// round, and a hundred of them more memory than a controller has. A large job lists what its team's limit allows to start,
// and the status of zones still counts all of its tasks. A gang lists all, since it is placed with all or none.
func TestLargeJobsListOnlyTasksThatMayStart(t *testing.T) {
	for _, c := range []struct {
		kind          string
		tasks, listed int
		coresMax      float64
	}{
		{wire.KindArray, 1000, 1000, 608}, {wire.KindArray, wire.MaxTasks, minListedTasks, 608}, {wire.KindArray, wire.MaxTasks, 3000, 12000},
		{wire.KindArray, wire.MaxTasks, maxListedTasks, 0}, {wire.KindGang, wire.MaxTasks, wire.MaxTasks, 608},
	} {
		core, l := newLeaderWithMachines(t, 0)
		core.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: c.coresMax})
		spec := wire.Job{ID: "req-000099", Class: "b", Team: "red", Kind: c.kind, Priority: "standard", Tasks: c.tasks, CPUs: 4, MemoryGB: 8}
		l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 100, AcceptedMS: core.now.UnixMilli()})
		d := l.demands()[0]
		if len(d.Tasks) != c.listed || len(d.Tasks)+d.Unlisted != c.tasks {
			t.Errorf("%+v: %d tasks are listed and %d are not", c, len(d.Tasks), d.Unlisted)
		}
	}
}
