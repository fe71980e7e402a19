package controller

import (
	"testing"
	"time"

	"pumicefront/reduction"
	"pumicefront/wire"
)

// An ended attempt is forgotten only when its outcome is recorded and a higher
// token fences its run.
func TestForgetWaits(t *testing.T) {
	_, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	a := place(l, j, 0, m)
	l.runCommand(a)
	ended := wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, Why: wire.WhyDone}
	forgets := func() bool {
		for _, cmd := range l.commands(m) {
			if cmd.Op == wire.OpForget {
				return true
			}
		}
		return false
	}
	l.failures.applyHeartbeat(m, report(m, 7, ended))
	if j.state.Status(0) != reduction.Completed {
		t.Fatal("a reported finish does not count")
	}
	j.dirty = false // its record is written
	if forgets() {
		t.Fatal("forgotten while a copy of its run may arrive")
	}
	l.token = 8
	l.failures.applyHeartbeat(m, report(m, 8, ended))
	j.dirty = true
	if forgets() {
		t.Fatal("forgotten before its finish is recorded")
	}
	j.dirty = false
	if !forgets() {
		t.Fatal("never forgotten")
	}
}

// An attempt that has to stop after its record is written and before its run is
// sent must not stay in force for ever.
func TestStoppedBeforeItWasSent(t *testing.T) {
	_, l, j := leading(t)
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	place(l, j, 0, m)
	l.finish(j, 0) // an earlier attempt, taken for lost, has finished
	if j.attempts[0] != nil {
		t.Fatal("still in force")
	}
}

// An answer of the cloud may come when the authority is over: nobody is asked then.
func TestNobodyIsAskedWithoutAuthority(t *testing.T) {
	c, l, _ := leading(t)
	c.now = l.authority.Add(time.Millisecond)
	c.out = nil
	l.autoscaler.listed(wire.Machine{ID: "i-1", Addr: "10.0.0.1:9000", State: wire.MachineRunning})
	for _, o := range c.out {
		if _, call := o.(WorkerCall); call {
			t.Fatalf("asked: %v", o)
		}
	}
}

// What runs on a machine that the cloud will take away, and can't end in time, begins
// again elsewhere at once instead of after the machine's silence; then nothing keeps
// the machine.
func TestNoticeMovesWhatCannotEndInTime(t *testing.T) {
	c, l, j := leading(t)
	j.spec.EstimateS = 50
	m := l.machine("i-1")
	l.failures.applyHeartbeat(m, &wire.Report{Machine: m.id, Session: 1, Seq: 1, Token: 7})
	young, old := place(l, j, 0, m), place(l, j, 1, m)
	for _, a := range []*attempt{young, old} {
		a.phase, a.since = attemptRunning, c.now
	}
	old.since = c.now.Add(-45 * time.Second)
	left := 20.0
	tasks := func(as ...*attempt) (ts []wire.Task) {
		for _, a := range as {
			ts = append(ts, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskRunning})
		}
		return ts
	}
	rep := report(m, 7, tasks(young, old)...)
	rep.NoticeS = &left
	l.failures.applyHeartbeat(m, rep)
	if !young.stopping || old.stopping {
		t.Errorf("with %v s left: stopped the one of 50 s %v, the one of 5 s %v", left, young.stopping, old.stopping)
	}
	l.failures.releaseFailed()
	if m.releasing {
		t.Error("released while a task may end in time")
	}
	rep = report(m, 7)
	rep.NoticeS = &left
	for _, a := range []*attempt{young, old} {
		rep.Tasks = append(rep.Tasks, wire.Task{ID: a.taskID(), Attempt: a.number, State: wire.TaskExited, Why: wire.WhyStopped})
	}
	l.failures.applyHeartbeat(m, rep)
	if l.failures.releaseFailed(); !m.releasing {
		t.Error("kept though nothing runs on it any more")
	}
}
