package controller

import (
	"fmt"
	"testing"
	"time"

	"pumicefront/config"
	"pumicefront/wire"
)

// newLeaderWithMachines returns a leader with machines of 16 cores and 64 GB that are up and have no tasks.
func newLeaderWithMachines(t *testing.T, count int) (*Core, *leader) {
	t.Helper()
	c, l, first := newLeadingCore(t)
	delete(l.jobs, first.id)
	l.jobsByAcceptance = nil
	c.quotas["red"] = quotaOf(config.Team{CPUs: 100, CPUsMax: 608})
	c.setTypes([]wire.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, BootS: 15, Zones: []string{"a"}}})
	for i := range count {
		m := l.machine(fmt.Sprintf("i-%02d", i))
		l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Addr: "127.0.0.1:9", Type: "t", Zone: "a", Session: 1, Seq: 1, Token: 7})
	}
	return c, l
}

// runRound runs a placement round at once.
func runRound(c *Core, l *leader) {
	c.now = c.now.Add(50 * time.Millisecond)
	l.authority, l.placementDueAt = c.now.Add(time.Hour), c.now
	l.runPlacementRound()
}

// All tasks of an array that take next to nothing were placed on one machine. Its reports exceeded what a controller reads,
// so that it lost its lease with everything on it. A single job leaves slots to others, also where its tasks have ended and
// the worker was not told to forget them.
func TestTasksOfNextToNothingLeaveSlotsToOthers(t *testing.T) {
	c, l := newLeaderWithMachines(t, 3)
	array := wire.Job{ID: "req-000098", Class: "tiny", Team: "red", Kind: wire.KindArray, Priority: "prod", Tasks: wire.MaxTasks, CPUs: 0.5e-18}
	j := l.addJob(array.ID, &headerRecord{Job: array, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
	runRound(c, l)
	const limit = slotsPerMachine - slotsForOtherJobs
	for _, m := range l.machinesByName {
		if len(m.attempts) != limit {
			t.Errorf("%s has %d tasks of the array, want %d", m.id, len(m.attempts), limit)
		}
	}
	m := l.machines["i-00"]
	report := newReport(m, l.token)
	report.Type, report.Zone = m.typ, m.zone
	for _, a := range m.attemptsInOrder() {
		l.runCommand(a)
		report.Tasks = append(report.Tasks, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, ExitReason: wire.ExitReasonDone})
	}
	l.failureDetector.applyHeartbeat(m, report)
	other := wire.Job{ID: "req-000099", Class: "b", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 3 * slotsForOtherJobs, CPUs: 0.01}
	l.addJob(other.ID, &headerRecord{Job: other, TasksPerChunk: 100, AcceptedMS: c.now.UnixMilli()})
	runRound(c, l)
	if n := len(l.jobs[other.ID].attempts); n != 3*slotsForOtherJobs {
		t.Errorf("%d tasks of another job are placed, want %d", n, 3*slotsForOtherJobs)
	}
	if n := len(j.attempts); n != 2*limit {
		t.Errorf("the array has %d active attempts, want %d while ended ones take slots", n, 2*limit)
	}
	if l.failureDetector.checkLeaseExpiry(); l.raisingToken {
		t.Error("the token was raised less than tokenRaiseInterval after the election")
	}
	c.now = c.now.Add(tokenRaiseInterval)
	if l.failureDetector.checkLeaseExpiry(); !l.raisingToken {
		t.Error("the token is not raised for a machine that is crowded with ended attempts")
	}
}

// The slots of a machine are so many that a report of as many tasks with the longest IDs stays within the limit on bodies.
func TestReportOfAllSlotsFitsIntoABody(t *testing.T) {
	notice := 120.5
	report := wire.Report{Machine: "i-000000000231", Addr: "10.101.100.232:19000", Type: "a-long-machine-type", Zone: "a-long-zone-name", Spot: true,
		Session: 1e6, Seq: 1e9, Token: 1e6, NoticeS: &notice}
	for n := range slotsPerMachine {
		report.Tasks = append(report.Tasks, wire.Task{ID: wire.TaskID("req-999999999999999999", wire.MaxTasks-1-n), Attempt: 99, State: wire.TaskExited,
			ExitReason: wire.ExitReasonStopped, Saved: true})
	}
	if size := wire.Size(wire.Marshal(report)); size > wire.MaxBodyBytes {
		t.Errorf("a report of %d tasks takes %d characters, the limit is %d", slotsPerMachine, size, wire.MaxBodyBytes)
	}
}

// Commands that are sent directly were sent in one message, however many they were. Those beyond the bound follow when the
// call with the first ones has ended.
func TestDirectCommandsAreSentInParts(t *testing.T) {
	c, l := newLeaderWithMachines(t, 1)
	m := l.machines["i-00"]
	for n := range 2*maxCommands + 7 {
		m.pendingStops = append(m.pendingStops, wire.Command{Op: wire.OpStop, Task: wire.TaskID("req-000001", n), Attempt: 1})
	}
	l.enqueueForSending(m)
	sent := map[string]bool{}
	for call, want := range []int{maxCommands, maxCommands, 7} {
		c.out = nil
		l.sendCommands()
		if len(c.out) != 1 {
			t.Fatalf("call %d: %d calls are made", call, len(c.out))
		}
		sentNow := c.out[0].(WorkerCall)
		if len(sentNow.Commands.Commands) != want {
			t.Errorf("call %d has %d commands, want %d", call, len(sentNow.Commands.Commands), want)
		}
		for _, command := range sentNow.Commands.Commands {
			sent[command.Task] = true
		}
		report := newReport(m, l.token)
		report.Type, report.Zone = m.typ, m.zone
		resume(c.workerCalls, sentNow.ID, WorkerReply{ID: sentNow.ID, Machine: m.id, Status: 200, Report: *report})
	}
	if len(sent) != 2*maxCommands+7 {
		t.Errorf("%d commands are sent, want %d", len(sent), 2*maxCommands+7)
	}
}

// Guards against a lease that is renewed by an answer without the stop commands of all cancelled tasks that the heartbeat
// lists: an answer had at most 400 commands, and a machine may have 600 tasks. This holds for a leader that has read the
// records and for one that has not, and other commands never take the place of a stop.
func TestOneAnswerStopsAllTasksOfAMachine(t *testing.T) {
	c, l := newLeaderWithMachines(t, 2)
	m := l.machines["i-00"]
	for i, tasks := range []int{slotsPerMachine - slotsForOtherJobs, slotsForOtherJobs} {
		spec := wire.Job{ID: fmt.Sprintf("req-00009%d", i), Class: "a", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: tasks, CPUs: 0.5e-18}
		c.headerChanged(spec.ID, &headerRecord{Job: spec, TasksPerChunk: 600, AcceptedMS: c.now.UnixMilli()})
		for task := range tasks {
			l.runCommand(placeAttempt(l, l.jobs[spec.ID], task, m))
		}
	}
	report := newReport(m, l.token)
	report.Type, report.Zone = m.typ, m.zone
	for _, a := range m.attemptsInOrder() {
		report.Tasks = append(report.Tasks, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning})
	}
	for id, j := range l.jobs {
		c.headerChanged(id, &headerRecord{Job: j.spec, TasksPerChunk: 600, Cancelled: true})
	}
	stops := func(commands []wire.Command) (n int) {
		for _, command := range commands {
			if command.Op == wire.OpStop {
				n++
			}
		}
		return n
	}
	if n := stops(l.failureDetector.cancelledTasks(report)); n != slotsPerMachine {
		t.Errorf("a leader without the records stops %d of %d cancelled tasks", n, slotsPerMachine)
	}
	if n := stops(l.heartbeatCommands(m)); n != slotsPerMachine {
		t.Errorf("a leader stops %d of %d cancelled tasks", n, slotsPerMachine)
	}
	for n := range 200 { // attempts to forget, which sort before all others
		k := taskKey{wire.TaskID("req-000001", n), 1}
		m.endedAttempts.add(k, c.now)
	}
	m.token = l.token
	if commands := l.heartbeatCommands(m); stops(commands) != slotsPerMachine || len(commands) != maxCommands {
		t.Errorf("%d of %d cancelled tasks are stopped by an answer with %d commands", stops(commands), slotsPerMachine, len(commands))
	}
}

// The largest number of commands with the longest IDs fits into a body.
func TestMostCommandsFitIntoABody(t *testing.T) {
	message := wire.Commands{Token: 1e6, Session: 1e6}
	for n := range maxCommands {
		message.Commands = append(message.Commands, wire.Command{Op: wire.OpStop, Task: wire.TaskID("req-999999999999999999", wire.MaxTasks-1-n), Attempt: 99999, GraceS: 119.5})
	}
	if size := wire.Size(wire.Marshal(message)); size > wire.MaxBodyBytes {
		t.Errorf("%d commands take %d characters, the limit is %d", maxCommands, size, wire.MaxBodyBytes)
	}
}
