package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/mesh"
	"pumicefront/wire"
)

// The cloud allows few calls a second. A new leader asks again only for the instance requests
// that have no answer on record, and nothing is asked for whose like was just refused.
func TestInstanceRequestsAreSentOnce(t *testing.T) {
	c, l, _ := leading(t)
	rent := func(name string) wire.Rent { return wire.Rent{Request: name, Type: "t", Zone: "a", Count: 2} }
	item := func(r rentalRecord) wire.Item {
		return wire.Item{Key: rentalPrefix + r.Rent.Request, Value: wire.Marshal(r), Version: 5}
	}
	l.autoscaler.restore([]wire.Item{
		item(rentalRecord{Rent: rent("r-1-1"), Answered: true, Machines: []string{"i-1", "i-2"}}),
		item(rentalRecord{Rent: rent("r-1-2")}),
	})
	if m := l.machines["i-2"]; m == nil || m.typ != "t" {
		t.Error("a rented machine on record is not expected")
	}
	asked := func() (names []string) {
		for _, o := range c.out {
			if call, ok := o.(CloudCall); ok && call.Op == CloudRent {
				names = append(names, call.Rent.Request)
			}
		}
		return names
	}
	c.out = nil
	l.autoscaler.sendInstanceRequests()
	if got := asked(); len(got) != 1 || got[0] != "r-1-2" {
		t.Fatalf("asked for %v, want r-1-2 alone", got)
	}
	for _, name := range []string{"r-2-1", "r-2-2"} {
		l.autoscaler.requests[name] = &instanceRequest{spec: rent(name), version: 6, since: c.now}
	}
	c.now = c.now.Add(time.Second)
	l.autoscaler.requestAnswered(l.autoscaler.requests["r-1-2"], CloudReply{Status: http.StatusServiceUnavailable})
	c.out = nil
	l.autoscaler.sendInstanceRequests()
	if got := asked(); len(got) > 0 || l.autoscaler.requests["r-2-1"] != nil || l.autoscaler.requests["r-1-1"] == nil {
		t.Errorf("asked for %v after a refusal of the same kind, left %v", got, l.autoscaler.requests)
	}
}

// A submission that is rejected by any controller is scaled out for before it is accepted:
// while few can be accepted, machines would otherwise boot only after the last of
// them. Once it has come in, or doesn't come again, it counts no more.
func TestRejectedSubmissionsAreScaledOutFor(t *testing.T) {
	c, l, _ := leading(t)
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 8, MemoryGB: 8, Zones: []string{"a"}}})
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	job := wire.Job{ID: "req-000007", Team: "red", Kind: wire.KindService, Priority: "prod", Tasks: 3, CPUs: 2}
	atDoor := func() int {
		n := 0
		for _, d := range l.autoscaler.backlog() {
			if d.Job == job.ID {
				n += min(len(d.Tasks), d.RoomInTeam)
			}
		}
		return n
	}
	c.meshMessage(&mesh.Envelope{From: "n1", Body: &mesh.Envelope_DemandHints{DemandHints: &mesh.DemandHints{Jobs: [][]byte{wire.Marshal(job)}}}})
	if n := atDoor(); n != 3 {
		t.Errorf("%d tasks wanted for a submission of 3 that another controller rejected", n)
	}
	l.addJob(job.ID, &headerRecord{Job: job, PerChunk: 10})
	if n := atDoor(); n != 3 {
		t.Errorf("%d tasks wanted for a submission of 3 that was rejected before", n)
	}
	delete(l.jobs, job.ID)
	l.order = nil
	c.rejectSubmission(UserRequest{Req: 1}, &job)
	c.sendDemandHints()
	if n := atDoor(); n != 3 {
		t.Errorf("%d tasks wanted for a submission of 3 that the leader rejected", n)
	}
	c.now = c.now.Add(2 * demandHintLifetime)
	if n := atDoor(); n != 0 {
		t.Errorf("%d tasks wanted for a job that does not come again", n)
	}
}

// A machine that was listed and is not any more has been taken, once no list can be
// from before it was listed; its release is the proof. Its silence would be noticed
// only after a report's time.
func TestUnlistedMachineIsReleased(t *testing.T) {
	c, l, _ := leading(t)
	lag := config.Seconds(c.cfg.Facts.Cloud.ListLagS)
	page := func(more bool, ids ...string) wire.MachinePage {
		p := wire.MachinePage{More: more}
		for _, id := range ids {
			p.Machines = append(p.Machines, wire.Machine{ID: id, State: wire.MachineRunning})
		}
		return p
	}
	for _, it := range page(false, "i-1", "i-2", "i-3", "i-4").Machines {
		l.autoscaler.listed(it)
	}
	l.machine("i-5") // never listed: may be too young
	c.now = c.now.Add(lag)
	l.autoscaler.unlisted("", page(false, "i-1"), c.now)
	if l.machines["i-2"].releasing {
		t.Error("released by a list that may be from before it was listed")
	}
	c.now = c.now.Add(2 * lag)
	l.autoscaler.unlisted("i-1", page(true, "i-3"), c.now)
	for id, want := range map[string]bool{"i-1": false, "i-2": true, "i-3": false, "i-4": false, "i-5": false} {
		if l.machines[id].releasing != want {
			t.Errorf("%s: released %v by a page from i-1 to i-3 without i-2", id, l.machines[id].releasing)
		}
	}
}

// Batch work waits for running tasks that end before a machine boots, but not for
// room that what comes meanwhile will need: as long as as much came as ended, nothing
// was requested and the last tasks of arrays waited for a minute.
func TestWhatEndsSoonIsNotCountedTwice(t *testing.T) {
	c, l, running := leading(t)
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 100})
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 2, MemoryGB: 8, BootS: 30, Zones: []string{"a"}}})
	running.spec.EstimateS, running.attempts[0] = 10, &attempt{job: running, machine: l.machine("i-1"), phase: attemptRunning, since: c.now}
	running.state.Start(0)
	running.state.Start(1)
	spec := wire.Job{ID: "req-000002", Class: "train", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1, CPUs: 1}
	l.addJob(spec.ID, &headerRecord{Job: spec, PerChunk: 10, AcceptedMS: c.now.UnixMilli()})
	for arrivals, want := range map[int]int{0: 0, 6: 1} {
		l.autoscaler.arrivals = nil
		for range arrivals {
			l.autoscaler.arrivals = append(l.autoscaler.arrivals, arrival{"train", 1, c.now})
		}
		l.autoscaler.trackPeaks()
		n := 0
		for _, d := range l.autoscaler.backlog() {
			n += len(d.Tasks)
		}
		if n != want {
			t.Errorf("%d tasks to rent for while one ends and %d came in 90 s, want %d", n, arrivals, want)
		}
	}
}

// A new leader knows machines from the records of instance requests. One that was released since
// must not pass for booting until its time to boot is over: nothing would be requested
// meanwhile. Nor may counts, which never end, keep those records from being removed.
func TestOldInstanceRequestsDoNotPassForBooting(t *testing.T) {
	c, l, _ := leading(t)
	l.autoscaler.restore([]wire.Item{{Key: "h/r-1-1", Version: 3, Value: wire.Marshal(rentalRecord{
		Rent: wire.Rent{Request: "r-1-1", Type: "t", Zone: "a", Count: 1}, Answered: true, Machines: []string{"i-9"}})}})
	c.now = c.now.Add(config.Seconds(2*c.cfg.Facts.Cloud.ListLagS) + 2*time.Second)
	l.autoscaler.unlisted("", wire.MachinePage{}, c.now)
	if m := l.machines["i-9"]; !m.releasing {
		t.Error("a machine of an old rental that is not listed still counts as booting")
	}
	l.autoscaler.forgetMachine("i-9")
	l.autoscaler.sendInstanceRequests()
	for n := range 200 {
		id := fmt.Sprintf("req-1%05d", n)
		l.addJob(id, &headerRecord{PerChunk: 10, Job: wire.Job{ID: id, Kind: wire.KindArray, Priority: "standard", Tasks: 2, CPUs: 1}})
	}
	for range 20 {
		c.now = c.now.Add(100 * time.Millisecond)
		l.authority = c.now.Add(time.Second)
		for _, j := range l.order {
			j.chunks[0].dirty, j.dirty, j.urgent, j.dirtyAt, j.write = true, true, false, c.now.Add(-time.Minute), nil
		}
		l.writes.flush()
	}
	if len(l.obsoleteKeys) > 0 {
		t.Errorf("%v is never deleted while there are counts to write", l.obsoleteKeys)
	}
}
