package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/mesh"
	"pumicefront/wire"
)

// A new leader must not release machines whose workers have not had time to connect to it since the election.
func TestNewLeaderWaitsForMachines(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	m := l.machine("i-1")
	m.typ, m.knownSince = "small", c.now.Add(-time.Hour)
	c.now = c.now.Add(3 * time.Second)
	if l.failureDetector.bootTimedOut(m) {
		t.Fatal("a machine's boot counts as timed out 3 s after the election")
	}
}

// A machine whose heartbeats arrive but which answers no command gets no new work, and a further
// heartbeat does not change that.
func TestMachineWithUnansweredCommandsGetsNoWork(t *testing.T) {
	c, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	for i := range 8 {
		other := l.machine(fmt.Sprintf("i-2%d", i))
		l.failureDetector.applyHeartbeat(other, &wire.Report{Machine: other.id, Session: 1, Seq: 1, Token: 7})
	}
	l.runCommand(placeAttempt(l, j, 0, m))
	probe := func(status int) { // sends a command, which is answered after 1 s; status 0: not answered
		l.sendCommand(m, nil)
		id := c.out[len(c.out)-1].(WorkerCall).ID
		c.now = c.now.Add(time.Second)
		resume(c.workerCalls, id, WorkerReply{Status: status, Report: *newReport(m, 7)})
	}
	probe(0)
	l.failureDetector.applyHeartbeat(m, newReport(m, 7))
	l.partitions.observe(l.c.now, l.failureDetector.countSilent())
	if l.usable(m) {
		t.Fatal("a machine that answers no command is usable for new work")
	}
	if probe(200); !l.usable(m) {
		t.Fatal("machine not usable after it has answered a command")
	}
}

// A leader's process was paused while the clocks continued, during an outage in which its lease did not expire.
// When the process resumes, the leader finds all machines silent and its commands unanswered. This is no evidence of
// failures: the leader must neither release machines nor withhold work from them because of time in which it did
// not process heartbeats.
func TestPausedLeaderReleasesNoMachines(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.op.IdleS = 3600 // no machine is released because it is idle
	for i := range 20 {
		id := fmt.Sprintf("i-%02d", i)
		l.failureDetector.applyHeartbeat(l.machine(id), &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	}
	c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
	step := func(d time.Duration) {
		c.now = c.now.Add(d)
		l.authority = c.now.Add(time.Second)
		l.autoscaler.releasesCheckedAt = time.Time{}
		l.run()
	}
	releasing := func() int {
		n := 0
		for _, m := range l.machines {
			if m.releasing {
				n++
			}
		}
		return n
	}
	step(0)
	sent := c.now
	step(2 * time.Minute)
	l.commandUnanswered(l.machines["i-00"], sent) // the answer arrived, but could not be read in time
	step(time.Millisecond)
	if n := releasing(); n > 0 {
		t.Fatalf("%d machines released after the leader was paused", n)
	}
	if !l.usable(l.machines["i-01"]) && !l.machines["i-01"].leaseExpired {
		t.Fatal("a machine counts as silent for the time in which the leader was paused")
	}
	for range 200 {
		step(250 * time.Millisecond)
	}
	if n := releasing(); n == 0 {
		t.Fatal("machines that stay silent are never released")
	}
}

// A machine that failed shortly before the previous leader did is known to the new leader only from recorded
// placements. If a hint gives the address of its worker, the leader probes it; a machine that does not answer the
// probe is released as soon as any other silent machine. A machine that cannot be probed gets more time, as its
// worker may still be looking for the leader.
func TestMachinesSilentSinceElection(t *testing.T) {
	c, l, j := newLeadingCore(t)
	c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
	otherJob := l.addJob("req-000002", &headerRecord{Job: wire.Job{ID: "req-000002", Kind: wire.KindArray, Tasks: 20, CPUs: 1}, TasksPerChunk: 20})
	for i := range 20 {
		m := l.machine(fmt.Sprintf("i-%02d", i))
		l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
		placeAttempt(l, otherJob, i, m)
	}
	probed, unprobed := l.machine("j-0"), l.machine("j-1")
	placeAttempt(l, j, 0, probed)
	placeAttempt(l, j, 1, unprobed)
	c.machineHints["j-0"] = &mesh.Hint{Machine: "j-0", Addr: "j-0"}
	seq := uint64(1)
	step := func() {
		c.now = c.now.Add(250 * time.Millisecond)
		l.authority = c.now.Add(time.Second)
		l.autoscaler.releasesCheckedAt = time.Time{}
		seq++
		for id, m := range l.machines {
			if m.up {
				l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: id, Type: "t", Zone: "a", Session: 1, Seq: seq, Token: 7})
			}
		}
		l.run()
		for id := range c.workerCalls {
			resume(c.workerCalls, id, WorkerReply{ID: id}) // no answer
		}
	}
	for l.failureDetector.listeningTimeSince(l.elected) <= l.failureDetector.suspectAfter() {
		step()
	}
	if probed.releasing || unprobed.releasing {
		t.Fatal("released too soon")
	}
	for range 6 {
		step()
	}
	if !probed.releasing || unprobed.releasing {
		t.Errorf("machine that does not answer: released %v, want true; machine that was not probed: released %v, want false", probed.releasing, unprobed.releasing)
	}
}

// A silent machine is released before its lease expires if its tasks of the highest priority fit on other
// machines. Resources used by lower-priority tasks count as free, as tasks of the highest priority preempt them.
func TestSilentMachineReleaseCountsPreemptibleResourcesAsFree(t *testing.T) {
	for priority, want := range map[string]bool{"standard": true, "prod": false} {
		c, l, _ := newLeadingCore(t)
		c.types["t"] = wire.MachineType{Name: "t", CPUs: 4, BootS: 5}
		var machines []*machine
		for i, p := range []string{"prod", priority, priority, priority} {
			m := l.machine(fmt.Sprintf("i-%d", i))
			l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
			id := fmt.Sprintf("req-1%d", i)
			j := l.addJob(id, &headerRecord{TasksPerChunk: 1, Job: wire.Job{ID: id, Kind: wire.KindService, Priority: p, Tasks: 1, CPUs: 4}})
			a := placeAttempt(l, j, 0, m)
			a.phase = attemptRunning
			machines = append(machines, m)
		}
		l.failureDetector.listening = listeningPeriod{startedAt: c.now, lastObserved: c.now}
		c.now = c.now.Add(l.failureDetector.suspectAfter() + time.Second)
		l.authority, l.failureDetector.listening.lastObserved = c.now.Add(time.Second), c.now
		for _, m := range machines[1:] {
			l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Type: "t", Zone: "a", Session: 1, Seq: 2, Token: 7,
				Tasks: []wire.Task{{ID: m.attemptsInOrder()[0].taskID(), Attempt: 1, State: wire.TaskRunning}}})
		}
		machines[0].lastCommandUnanswered = true
		l.failureDetector.releaseFailed()
		if machines[0].releasing != want {
			t.Errorf("with %s tasks on the other machines: released %v, want %v", priority, machines[0].releasing, want)
		}
	}
}
