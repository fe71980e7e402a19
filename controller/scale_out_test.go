package controller

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/scheduler"
	"pumicefront/wire"
)

// The cloud allows few calls a second. A new leader sends again only the rental requests that have no recorded
// answer, and none is sent whose offer was just refused.
func TestRentalRequestsAreSentOnce(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	rent := func(id string) wire.RentRequest { return wire.RentRequest{Request: id, Type: "t", Zone: "a", Count: 2} }
	item := func(r rentalRecord) wire.Item {
		return wire.Item{Key: rentalPrefix + r.Rent.Request, Value: wire.Marshal(r), Version: 5}
	}
	l.autoscaler.restore([]wire.Item{
		item(rentalRecord{Rent: rent("r-1-1"), Answered: true, Machines: []string{"i-1", "i-2"}}),
		item(rentalRecord{Rent: rent("r-1-2")}),
	})
	if m := l.machines["i-2"]; m == nil || m.typ != "t" {
		t.Error("a machine of a recorded rental request is not known")
	}
	sentNames := func() (names []string) {
		for _, o := range c.out {
			if call, ok := o.(CloudCall); ok && call.Op == CloudRent {
				names = append(names, call.Rent.Request)
			}
		}
		return names
	}
	c.out = nil
	l.autoscaler.sendRentalRequests()
	if got := sentNames(); len(got) != 1 || got[0] != "r-1-2" {
		t.Fatalf("sent %v, want only r-1-2", got)
	}
	for _, name := range []string{"r-2-1", "r-2-2"} {
		l.autoscaler.requests[name] = &rentalRequest{spec: rent(name), version: 6, since: c.now}
	}
	c.now = c.now.Add(time.Second)
	l.autoscaler.handleRequestReply(l.autoscaler.requests["r-1-2"], CloudReply{Status: http.StatusServiceUnavailable})
	c.out = nil
	l.autoscaler.sendRentalRequests()
	if got := sentNames(); len(got) > 0 || l.autoscaler.requests["r-2-1"] != nil || l.autoscaler.requests["r-1-1"] == nil {
		t.Errorf("sent %v after a refusal of the same offer, left %v", got, l.autoscaler.requests)
	}
}

// Machines are requested for a submission that any controller rejected before it is accepted: while few submissions can
// be accepted, machines would otherwise boot only after the last of them. Once the job is accepted, or is not
// submitted again, its hint no longer counts.
func TestRejectedSubmissionsAreScaledOutFor(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	job := wire.Job{ID: "req-000007", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 3, CPUs: 2}
	hintedTasks := func() int {
		n := 0
		for _, d := range l.autoscaler.backlog() {
			if d.Job == job.ID {
				n += min(len(d.Tasks), d.RoomInTeam)
			}
		}
		return n
	}
	c.handleMeshMessage(&mesh.Envelope{From: "n1", Body: &mesh.Envelope_DemandHints{DemandHints: &mesh.DemandHints{Jobs: [][]byte{wire.Marshal(job)}}}})
	if n := hintedTasks(); n != 3 {
		t.Errorf("demand for %d tasks of a submission of 3 that another controller rejected", n)
	}
	l.addJob(job.ID, &headerRecord{Job: job, TasksPerChunk: 10})
	if n := hintedTasks(); n != 3 {
		t.Errorf("demand for %d tasks of an accepted submission of 3 that was rejected before", n)
	}
	delete(l.jobs, job.ID)
	l.jobsByAcceptance = nil
	c.rejectSubmission(UserRequest{Req: 1}, &job)
	c.sendDemandHints()
	if n := hintedTasks(); n != 3 {
		t.Errorf("demand for %d tasks of a submission of 3 that the leader rejected", n)
	}
	c.now = c.now.Add(2 * demandHintLifetime)
	if n := hintedTasks(); n != 0 {
		t.Errorf("demand for %d tasks of a job that is not submitted again", n)
	}
}

// A machine that was listed and is missing from a later list was taken by the cloud, provided that this list can't
// reflect a time before the machine was listed. The machine is released, since a confirmed release proves that its
// attempts have ended; its silence would be noticed only after a report interval.
func TestUnlistedMachineIsReleased(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	lag := config.Seconds(c.cfg.Facts.Cloud.ListLagS)
	page := func(more bool, ids ...string) wire.MachinePage {
		p := wire.MachinePage{More: more}
		for _, id := range ids {
			p.Machines = append(p.Machines, wire.Machine{ID: id, State: wire.MachineRunning})
		}
		return p
	}
	for _, it := range page(false, "i-1", "i-2", "i-3", "i-4").Machines {
		l.autoscaler.handleListed(it)
	}
	l.machine("i-5") // never listed: may be too new for the list
	c.now = c.now.Add(lag)
	l.autoscaler.handleUnlisted("", page(false, "i-1"), c.now)
	if l.machines["i-2"].releasing {
		t.Error("i-2 is released by a list that may be from before it was listed")
	}
	c.now = c.now.Add(2 * lag)
	l.autoscaler.handleUnlisted("i-1", page(true, "i-3"), c.now)
	for id, want := range map[string]bool{"i-1": false, "i-2": true, "i-3": false, "i-4": false, "i-5": false} {
		if l.machines[id].releasing != want {
			t.Errorf("%s: released is %v after a page from i-1 to i-3 without i-2", id, l.machines[id].releasing)
		}
	}
}

// Batch work waits for running tasks that end before a machine boots, but must not count on room that newly arriving
// work will take. When it did, no machine was requested while work arrived as fast as it ended, and the last tasks of
// arrays waited for a minute.
func TestFreedRoomIsNotCountedTwice(t *testing.T) {
	c, l, running := newLeadingCore(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, BootS: 30, Zones: []string{"a"}}})
	running.spec.EstimateS, running.attempts[0] = 10, &attempt{job: running, machine: l.machine("i-1"), phase: attemptRunning, runningSince: c.now}
	running.state.Start(0)
	running.state.Start(1)
	spec := wire.Job{ID: "req-000002", Class: "train", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1}
	l.addJob(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	for arrivals, want := range map[int]int{0: 0, 6: 1} {
		l.autoscaler.arrivals = nil
		for range arrivals {
			l.autoscaler.arrivals = append(l.autoscaler.arrivals, arrival{"train", 1, c.now})
		}
		l.autoscaler.updatePeaks()
		n := 0
		for _, d := range l.autoscaler.backlog() {
			n += len(d.Tasks)
		}
		if n != want {
			t.Errorf("%d tasks need machines while one ends and %d arrived in 90 s, want %d", n, arrivals, want)
		}
	}
}

// A new leader knows machines from the records of rental requests. A machine that was released since must not count
// as booting until its boot time has passed: nothing would be requested meanwhile. Nor may the writes of task counts,
// which never end, keep those records from being deleted.
func TestMachinesOfOldRequestsAreNotCountedAsBooting(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	l.autoscaler.restore([]wire.Item{{Key: "h/r-1-1", Version: 3, Value: wire.Marshal(rentalRecord{
		Rent: wire.RentRequest{Request: "r-1-1", Type: "t", Zone: "a", Count: 1}, Answered: true, Machines: []string{"i-9"}})}})
	c.now = c.now.Add(config.Seconds(2*c.cfg.Facts.Cloud.ListLagS) + 2*time.Second)
	l.autoscaler.handleUnlisted("", wire.MachinePage{}, c.now)
	if m := l.machines["i-9"]; !m.releasing {
		t.Error("an unlisted machine of an old rental request still counts as booting")
	}
	l.autoscaler.forgetMachine("i-9")
	l.autoscaler.sendRentalRequests()
	for n := range 200 {
		id := fmt.Sprintf("req-1%05d", n)
		l.addJob(id, &headerRecord{TasksPerChunk: 10, Job: wire.Job{ID: id, Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: 1}})
	}
	for range 20 {
		c.now = c.now.Add(100 * time.Millisecond)
		l.authority = c.now.Add(time.Second)
		for _, j := range l.jobsByAcceptance {
			j.chunks[0].dirty, j.dirty, j.urgent, j.dirtyAt, j.write = true, true, false, c.now.Add(-time.Minute), nil
		}
		l.writes.flush()
	}
	if len(l.obsoleteKeys) > 0 {
		t.Errorf("%v is never deleted while there are task counts to write", l.obsoleteKeys)
	}
}

// backlogBesideRunningTask returns the demands that may need a scale-out for a waiting job, while a batch task of one core is
// about to end.
func backlogBesideRunningTask(t *testing.T, waiting wire.Job) []*scheduler.Demand {
	t.Helper()
	c, l, running := newLeadingCore(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, BootS: 30, Zones: []string{"a"}}})
	running.attempts[0] = &attempt{job: running, machine: l.machine("i-1"), phase: attemptRunning, runningSince: c.now}
	running.state.Start(0)
	running.state.Start(1)
	l.addJob(waiting.ID, &headerRecord{Job: waiting, TasksPerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	return l.autoscaler.backlog()
}

// A job whose tasks take next to no cores ended every leader with "slice bounds out of range": how many of these tasks fit
// into the room that running tasks free exceeds the range of an integer.
func TestBacklogOfTasksWithNextToNoCores(t *testing.T) {
	for _, cpus := range []float64{0.5e-18, math.SmallestNonzeroFloat64, 1e-300, 0} {
		spec := wire.Job{ID: "req-000099", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: cpus, MemoryGB: 60}
		backlogBesideRunningTask(t, spec)
		spec.MemoryGB = 0
		backlogBesideRunningTask(t, spec)
	}
}

// A job that takes a machine's memory and hardly any cores was counted as fitting into any room that running tasks free, and
// no machine was ever requested for it while batch tasks ran.
func TestTasksOfMemoryAloneAreScaledOutFor(t *testing.T) {
	tasks := 0
	for _, d := range backlogBesideRunningTask(t, wire.Job{ID: "req-000099", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: 0.5e-18, MemoryGB: 60}) {
		tasks += len(d.Tasks)
	}
	if tasks != 2 {
		t.Errorf("%d tasks need machines while one core becomes free, want 2", tasks)
	}
}
