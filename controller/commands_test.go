package controller

import (
	"testing"
	"time"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// An ended attempt is forgotten only when its outcome is recorded and a higher fencing token blocks
// its run command.
func TestForgetNeedsRecordedOutcomeAndHigherToken(t *testing.T) {
	_, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := placeAttempt(l, j, 0, m)
	l.runCommand(a)
	ended := wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, ExitReason: wire.ExitReasonDone}
	forgets := func() bool {
		for _, cmd := range l.heartbeatCommands(m) {
			if cmd.Op == wire.OpForget {
				return true
			}
		}
		return false
	}
	l.failureDetector.applyHeartbeat(m, newReport(m, 7, ended))
	if j.state.Status(0) != reduction.Completed {
		t.Fatal("a task reported as done is not completed")
	}
	j.dirty = false // its record is written
	if forgets() {
		t.Fatal("forgotten while a copy of its run command may arrive")
	}
	l.token = 8
	l.failureDetector.applyHeartbeat(m, newReport(m, 8, ended))
	j.dirty = true
	if forgets() {
		t.Fatal("forgotten before its outcome is recorded")
	}
	j.dirty = false
	if !forgets() {
		t.Fatal("not forgotten though its outcome is recorded and its token fenced")
	}
}

// An attempt that is stopped after its record is written and before its run command is sent must not
// stay active forever.
func TestStopBeforeRunIsSent(t *testing.T) {
	_, l, j := newLeadingCore(t)
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	placeAttempt(l, j, 0, m)
	l.completeTask(j, 0) // an earlier attempt that counted as lost has finished
	if j.attempts[0] != nil {
		t.Fatal("stopped attempt still active though its run command was not sent")
	}
}

// An answer of the cloud may arrive after the leader's authority has expired. No machine is probed
// then.
func TestNoProbeWithoutAuthority(t *testing.T) {
	c, l, _ := newLeadingCore(t)
	c.now = l.authority.Add(time.Millisecond)
	c.out = nil
	l.autoscaler.handleListed(wire.Machine{ID: "i-1", Addr: "10.0.0.1:9000", State: wire.MachineRunning})
	for _, o := range c.out {
		if _, call := o.(WorkerCall); call {
			t.Fatalf("probe sent without authority: %v", o)
		}
	}
}

// Tasks that cannot finish before the cloud reclaims their machine are stopped at once, so that they
// restart elsewhere before the machine falls silent. The machine is released once no task is left.
func TestReclaimNoticeStopsTasksThatCannotFinish(t *testing.T) {
	c, l, j := newLeadingCore(t)
	j.spec.EstimateS = 50
	m := l.machine("i-1")
	l.failureDetector.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	young, old := placeAttempt(l, j, 0, m), placeAttempt(l, j, 1, m)
	for _, a := range []*attempt{young, old} {
		a.phase, a.runningSince = attemptRunning, c.now
	}
	old.runningSince = c.now.Add(-45 * time.Second)
	left := 20.0
	tasks := func(as ...*attempt) (ts []wire.Task) {
		for _, a := range as {
			ts = append(ts, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning})
		}
		return ts
	}
	rep := newReport(m, 7, tasks(young, old)...)
	rep.NoticeS = &left
	l.failureDetector.applyHeartbeat(m, rep)
	if !young.stopping || old.stopping {
		t.Errorf("with %v s left: task with 50 s left stopped: %v, want true; task with 5 s left stopped: %v, want false", left, young.stopping, old.stopping)
	}
	l.failureDetector.releaseFailed()
	if m.releasing {
		t.Error("machine released while a task may finish in time")
	}
	rep = newReport(m, 7)
	rep.NoticeS = &left
	for _, a := range []*attempt{young, old} {
		rep.Tasks = append(rep.Tasks, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, ExitReason: wire.ExitReasonStopped})
	}
	l.failureDetector.applyHeartbeat(m, rep)
	if l.failureDetector.releaseFailed(); !m.releasing {
		t.Error("machine not released though no task is left on it")
	}
}
